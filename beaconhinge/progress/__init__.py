"""Progress of a request as a stream of events: what it says next (`feed`) and its text (`codec`). Pure."""
