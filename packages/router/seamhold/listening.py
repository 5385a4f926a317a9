"""Constants that all HTTP ports of a box share."""

#: Backlog of the listening socket: connections that wait for a thread.
ACCEPT_QUEUE = 512
#: Timeout for a port's threads to end when it stops.
SHUTDOWN_SECONDS = 2
