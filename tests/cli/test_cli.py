"""The command line: output, exit statuses, and errors of one line."""

from __future__ import annotations

import asyncio
import json
import subprocess
import sys
import tomllib
from pathlib import Path

import pytest

from beaconhinge.cli import main
from beaconhinge.config import ConfigError
from beaconhinge.config.local import convert, read
from beaconhinge.store import Delete, Options, Put, Store, codec

ROOT = Path(__file__).resolve().parents[2]


def create_store(folder: Path, commits: int = 40) -> Path:
    """Write a store of several segments in which 29 keys remain, some values replaced and one key deleted."""

    async def fill() -> None:
        store = Store.open(folder, Options(segment_bytes=1500, compact_dead_share=1.0))
        for number in range(commits):
            await store.commit([Put(b"k%02d" % (number % 30), b"v" * 100)])
        await store.commit([Delete(b"k00")])
        await store.close()

    asyncio.run(fill())
    return folder


def run_command(capsys: pytest.CaptureFixture[str], *arguments: str) -> tuple[int, str, str]:
    """Run a command in this process; return its exit status, standard output and standard error."""
    status = main(list(arguments))
    out, err = capsys.readouterr()
    return status, out, err


def test_wrong_usage_exits_with_status_2_and_one_line(
    capsys: pytest.CaptureFixture[str], tmp_path: Path
) -> None:
    for arguments in (
        ["sto"],
        ["store", "verify"],
        ["store", "verify", "/not/there"],
        ["demo", "--seconds", "x"],
        ["config", "show"],
        ["run"],
        ["store", "repair", str(tmp_path), str(ROOT)],
    ):
        status, out, err = run_command(capsys, *arguments)
        assert (status, out) == (2, "") and err.startswith("beaconhinge: ") and err.count("\n") == 1, (
            arguments
        )


def test_help_shows_examples(capsys: pytest.CaptureFixture[str]) -> None:
    for arguments in (
        ["store", "stat"],
        ["store", "repair"],
        ["config", "check"],
        ["demo"],
        ["run"],
        ["logs", "sum"],
    ):
        status, out, _ = run_command(capsys, *arguments, "--help")
        assert status == 0
        assert f"beaconhinge {' '.join(arguments)}" in out
        assert "Example" in out


def test_missing_or_locked_store_exits_with_status_1(
    capsys: pytest.CaptureFixture[str], tmp_path: Path
) -> None:
    status, _, err = run_command(capsys, "store", "stat", str(tmp_path))
    assert status == 1
    assert "no store is in this folder" in err
    assert err.count("\n") == 1
    assert list(tmp_path.iterdir()) == []
    store = Store.open(tmp_path / "s")
    try:
        for command in (
            ["stat", str(tmp_path / "s")],
            ["repair", str(tmp_path / "s"), str(tmp_path / "new")],
        ):
            status, _, err = run_command(capsys, "store", *command)
            assert status == 1
            assert "another process" in err
    finally:
        store.shut()


def test_stat_dump_and_compact_report_keys_and_sizes(
    capsys: pytest.CaptureFixture[str], tmp_path: Path
) -> None:
    folder = str(create_store(tmp_path / "s"))
    status, out, _ = run_command(capsys, "store", "stat", folder, "--json")
    figures = json.loads(out)
    assert status == 0
    assert figures["keys"] == 29
    assert figures["segments"] > 2
    status, out, _ = run_command(capsys, "store", "dump", folder, "--prefix", "k1", "--json", "--values")
    lines = [json.loads(line) for line in out.splitlines()]
    assert [line["key"] for line in lines] == [f"k{n}" for n in range(10, 20)]
    assert lines[0]["hex"] == "76" * 100
    status, out, _ = run_command(capsys, "store", "compact", folder, "--json")
    result = json.loads(out)
    assert status == 0
    assert result["bytes_after"] < result["bytes_before"]
    assert result["keys"] == 29
    assert run_command(capsys, "store", "verify", folder)[0] == 0


def test_verify_reports_damage_and_repair_salvages_the_rest(
    capsys: pytest.CaptureFixture[str], tmp_path: Path
) -> None:
    folder = create_store(tmp_path / "s")
    segment = folder / codec.segment_name(2)
    data = bytearray(segment.read_bytes())
    data[200] ^= 4
    segment.write_bytes(data)
    status, out, _ = run_command(capsys, "store", "verify", str(folder))
    assert status == 3
    assert f"damage: {segment.name} at byte" in out
    status, out, _ = run_command(capsys, "store", "verify", str(folder), "--json")
    assert status == 3
    assert json.loads(out)["well"] is False
    before = {path.name: path.read_bytes() for path in folder.iterdir()}
    status, out, _ = run_command(capsys, "store", "repair", str(folder), str(tmp_path / "new"), "--json")
    result = json.loads(out)
    assert status == 0
    assert result["keys"] >= 28
    assert [entry["file"] for entry in result["lost"]] == [segment.name]
    assert before == {path.name: path.read_bytes() for path in folder.iterdir()}
    assert run_command(capsys, "store", "verify", str(tmp_path / "new"))[0] == 0
    (folder / "MANIFEST").write_bytes(b"x")
    assert run_command(capsys, "store", "verify", str(folder))[0] == 3


def test_bench_measures_and_leaves_no_files(capsys: pytest.CaptureFixture[str], tmp_path: Path) -> None:
    status, out, _ = run_command(
        capsys, "store", "bench", str(tmp_path), "--commits", "20", "--writers", "4", "--json"
    )
    assert status == 0
    assert json.loads(out)["one_writer_per_s"] > 0
    assert list(tmp_path.iterdir()) == []


# ---- configuration ---------------------------------------------------------------------------------------


def test_deployed_file_has_every_key_with_its_default(capsys: pytest.CaptureFixture[str]) -> None:
    status, out, _ = run_command(capsys, "config", "show", "--defaults")
    assert status == 0
    assert tomllib.loads(out) == tomllib.loads((ROOT / "deploy" / "edge.toml").read_text())
    assert run_command(capsys, "config", "check", str(ROOT / "deploy" / "edge.toml"))[0] == 0


@pytest.mark.parametrize(
    ("text", "message"),
    [
        ("[stroe]\n", "stroe: no such key; did you mean store?"),
        ("[store]\nsegment_byte = 4\n", "store.segment_byte: no such key; did you mean store.segment_bytes?"),
        ("[store]\nqqq = 4\n", "store.qqq: no such key"),
        ('[store]\nsegment_bytes = "many"\n', "store.segment_bytes: Expected `int`, got `str`"),
        ("[store]\nsegment_bytes = 0\n", "store.segment_bytes: must be more than 0"),
        ("store = 4\n", "store: Expected `object`, got `int`"),
        ('[log]\nformat = "xml"\n', "log.format: Invalid enum value 'xml'"),
        ("[books]\ninterval_s = -1.0\n", "books.interval_s: must be a number of seconds, more than 0"),
        ("[books]\ninterval_s = nan\n", "books.interval_s: must be a number"),
        ("[store\n", "line 1"),
    ],
)
def test_invalid_key_is_named_in_one_line(
    text: str, message: str, capsys: pytest.CaptureFixture[str], tmp_path: Path
) -> None:
    file = tmp_path / "edge.toml"
    file.write_text(text)
    status, out, err = run_command(capsys, "config", "check", str(file))
    assert (status, out) == (2, "")
    assert err.count("\n") == 1
    assert err.startswith(f"beaconhinge: {file}: ")
    assert message in err
    status, out, _ = run_command(capsys, "config", "check", str(file), "--json")
    assert status == 2
    assert json.loads(out)["well"] is False


def test_paths_are_relative_to_the_files_folder(tmp_path: Path) -> None:
    file = tmp_path / "edge.toml"
    file.write_text('[store]\nfolder = "data"\n[platform]\nconfig = "/etc/balancer.json"\n')
    local_config = read(file)
    assert local_config.store.folder == str(tmp_path / "data")
    assert local_config.platform.config == "/etc/balancer.json"
    with pytest.raises(ConfigError, match="not there"):
        read(tmp_path / "not there")
    assert convert({}, "x").store.folder == ""


def test_config_check_reads_the_platforms_json(capsys: pytest.CaptureFixture[str], tmp_path: Path) -> None:
    file = tmp_path / "balancer.json"
    file.write_text('{"settings": {}}')
    status, _, err = run_command(capsys, "config", "check", str(file))
    assert status == 2
    assert "requestClasses.count" in err
    (tmp_path / "edge.toml").write_text('[platform]\nconfig = "balancer.json"\n')
    assert "requestClasses.count" in run_command(capsys, "config", "check", str(tmp_path / "edge.toml"))[2]


def test_start_imports_no_optional_library_or_subsystem() -> None:
    """The platform's start must be fast and use little memory: optional parts are imported only on use."""
    code = (
        "import sys, beaconhinge.__main__; "
        "print(sorted({'typer', 'rich', 'structlog', 'msgspec', 'sortedcontainers', 'google_crc32c', "
        "'beaconhinge.store', 'beaconhinge.cli', 'beaconhinge.quota_snapshots'} & set(sys.modules)))"
    )
    done = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True, cwd=ROOT)
    assert done.stdout.strip() == "[]"
