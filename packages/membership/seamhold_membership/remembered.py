"""How long boxes remember what streams may have begun at."""

#: How long a version counts after its last engine left the list, and a link between services after
#: it ended, in seconds: longer than the records of streams are kept.
REMEMBERED_SECONDS = 3660.0
