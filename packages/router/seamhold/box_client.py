"""A client of the operators' port of a box, for the command line."""

from urllib.parse import quote

import urllib3

from seamhold_messages.errors import NotReady, PlatformNotFound, Unauthorized

ANSWER_SECONDS = 5.0


class BoxClient:
    """Reads the status of a box, stops it, and lifts requests from quarantine."""

    def __init__(self, url: str, key: str = ''):
        self._url = url.rstrip('/')
        self._headers = {'Authorization': f'Bearer {key}'} if key else {}
        self._pool = urllib3.PoolManager(retries=False, timeout=ANSWER_SECONDS)

    def _call(self, method: str, page: str) -> dict:
        try:
            answer = self._pool.request(method, f'{self._url}/{page}', headers=self._headers)
        except urllib3.exceptions.HTTPError as error:
            raise NotReady(f'no box answers at {self._url}: {error}') from error
        if answer.status == 401:
            raise Unauthorized('this box requires its operator key: --key KEY')
        if answer.status == 404:
            raise PlatformNotFound(f"{self._url} is not the operators' port of a box")
        return answer.json()

    def status(self) -> dict:
        """Return the status page of the box."""
        return self._call('GET', 'status')

    def lift(self, request: str) -> bool:
        """Allow a request that ended engines to run again; False if the box does not know it."""
        try:
            return self._call('POST', f'lift?request={quote(request)}')['lifted']
        except PlatformNotFound:
            return False

    def drain(self) -> dict:
        """Start a planned stop; returns the number of calls in progress."""
        return self._call('POST', 'drain')
