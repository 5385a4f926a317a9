"""What all HTTP ports of a box have in common."""

#: Connections that wait for a thread before the system turns more away.
ACCEPT_QUEUE = 512
#: How long a port waits for its threads when it stops.
SHUTDOWN_SECONDS = 2
