"""The operators' port of a box, from the command line."""

from urllib.parse import quote

import urllib3

from seamhold_messages.errors import NotReady, PlatformNotFound, Unauthorized

ANSWER_SECONDS = 5.0


class BoxClient:
    """Reads the status of a box and asks it to stop."""

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
            raise Unauthorized('this box wants its operator key: --key KEY')
        if answer.status == 404:
            raise PlatformNotFound(f"{self._url} is not the operators' port of a box")
        return answer.json()

    def status(self) -> dict:
        """All that the box knows."""
        return self._call('GET', 'status')

    def lift(self, request: str) -> bool:
        """Let a request run again that engines ended under; False if it is not known."""
        try:
            return self._call('POST', f'lift?request={quote(request)}')['lifted']
        except PlatformNotFound:
            return False

    def drain(self) -> dict:
        """Begin a planned stop."""
        return self._call('POST', 'drain')
