/* Makes some system calls of one dispatcher fail at random, with errors that Linux documents. Scenarios load it by
 * LD_PRELOAD.
 *
 * BEACONHINGE_SHIM holds "accept=P,connect=P,short=P,step=S,socket=P": P is the share of the calls that fail, S the
 * seconds by which the wall clock steps forward and back. Stream sockets fail only once the process listens: without a
 * listener it could not start. BEACONHINGE_SHIM_COUNTS names a file of eight 64-bit counters, one for each kind of
 * failure in the order of `enum kind`; the file remains after the process ends. */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

enum kind { ACCEPT, CONNECT, SHORT_READ, SHORT_WRITE, STEP, SOCKET, KINDS };

static double part[KINDS];
static int listening;
static uint64_t spare[8], *counts = spare, state = 88172645463325252ull;

static double chance(void) { /* xorshift64: the same numbers in every run with the same seed */
    state ^= state << 13;
    state ^= state >> 7;
    state ^= state << 17;
    return (double)(state >> 11) / 9007199254740992.0;
}

static int hits(enum kind kind) {
    if (part[kind] <= 0 || chance() >= part[kind]) return 0;
    __atomic_fetch_add(&counts[kind], 1, __ATOMIC_RELAXED);
    return 1;
}

static double named(const char *text, const char *name) {
    const char *found = text ? strstr(text, name) : NULL;
    return found ? atof(found + strlen(name)) : 0.0;
}

__attribute__((constructor)) static void start(void) {
    const char *text = getenv("BEACONHINGE_SHIM"), *path = getenv("BEACONHINGE_SHIM_COUNTS");
    const char *seed = getenv("BEACONHINGE_SHIM_SEED");
    part[ACCEPT] = named(text, "accept=");
    part[CONNECT] = named(text, "connect=");
    part[SHORT_READ] = part[SHORT_WRITE] = named(text, "short=");
    part[STEP] = named(text, "step=");
    part[SOCKET] = named(text, "socket=");
    if (seed) state ^= strtoull(seed, NULL, 10) * 0x9E3779B97F4A7C15ull | 1;
    int file = path ? open(path, O_RDWR | O_CREAT, 0600) : -1;
    if (file >= 0 && ftruncate(file, sizeof spare) == 0) {
        void *map = mmap(NULL, sizeof spare, PROT_READ | PROT_WRITE, MAP_SHARED, file, 0);
        if (map != MAP_FAILED) counts = map;
    }
    if (file >= 0) close(file);
}

#define REAL(name) ((__typeof__(&name))dlsym(RTLD_NEXT, #name))

int accept4(int fd, struct sockaddr *address, socklen_t *length, int flags) {
    static __typeof__(&accept4) real;
    if (!real) real = REAL(accept4);
    if (hits(ACCEPT)) {
        static const int errors[] = {ECONNABORTED, ENFILE, EINTR, ENOBUFS};
        errno = errors[(int)(chance() * 4)];
        return -1;
    }
    return real(fd, address, length, flags);
}

int listen(int fd, int backlog) {
    static __typeof__(&listen) real;
    if (!real) real = REAL(listen);
    int result = real(fd, backlog);
    listening = 1;
    return result;
}

int socket(int domain, int type, int protocol) {
    static __typeof__(&socket) real;
    if (!real) real = REAL(socket);
    if (listening && domain == AF_INET && (type & 0xf) == SOCK_STREAM && hits(SOCKET)) {
        static const int errors[] = {EMFILE, ENFILE, ENOBUFS, ENOMEM};
        errno = errors[(int)(chance() * 4)];
        return -1;
    }
    return real(domain, type, protocol);
}

int connect(int fd, const struct sockaddr *address, socklen_t length) {
    static __typeof__(&connect) real;
    if (!real) real = REAL(connect);
    if (address->sa_family == AF_INET && hits(CONNECT)) {
        static const int errors[] = {EADDRNOTAVAIL, ENETUNREACH, EHOSTUNREACH, ETIMEDOUT};
        errno = errors[(int)(chance() * 4)];
        return -1;
    }
    return real(fd, address, length);
}

ssize_t recv(int fd, void *buffer, size_t size, int flags) {
    static __typeof__(&recv) real;
    if (!real) real = REAL(recv);
    if (size > 1 && !(flags & MSG_PEEK) && hits(SHORT_READ)) size = 1 + (size_t)(chance() * 16);
    return real(fd, buffer, size, flags);
}

ssize_t send(int fd, const void *buffer, size_t size, int flags) {
    static __typeof__(&send) real;
    if (!real) real = REAL(send);
    if (size > 1 && hits(SHORT_WRITE)) size = 1 + (size_t)(chance() * (double)(size - 1));
    return real(fd, buffer, size, flags);
}

int clock_gettime(clockid_t clock, struct timespec *now) {
    static __typeof__(&clock_gettime) real;
    if (!real) real = REAL(clock_gettime);
    int result = real(clock, now);
    if (clock == CLOCK_REALTIME && part[STEP] > 0 && (now->tv_sec & 2)) { /* steps forward for 2 s, then back for 2 s */
        now->tv_sec += (time_t)part[STEP];
        __atomic_fetch_add(&counts[STEP], 1, __ATOMIC_RELAXED);
    }
    return result;
}
