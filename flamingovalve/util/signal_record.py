"""Records signals from the first statements of a process on.

Imports only the interpreter's built-in part of ``signal``: the whole module
takes longer to import than all that comes before it.
"""

import _signal

TERMINATE = int(_signal.SIGTERM)
INTERRUPT = int(_signal.SIGINT)
HANG_UP = int(_signal.SIGHUP)
_RECORDED = (TERMINATE, INTERRUPT, HANG_UP)
_ABSENT = object()


class SignalRecord:
    """The signals of this process that have arrived and are not taken yet.

    A signal that arrives again before it is taken counts once.
    """

    def __init__(self) -> None:
        """Start without any signal; none is recorded yet."""
        self._arrived: dict[int, object] = {}

    @classmethod
    def installed(cls) -> 'SignalRecord':
        """Return a record of the signals that arrive from now on.

        The handlers are functions of the interpreter: a flood of signals
        would nest handlers written in Python up to the limit of recursion.
        """
        record = cls()
        for number in _RECORDED:
            _signal.signal(number, record._arrived.setdefault)
        return record

    def take(self) -> list[int]:
        """Remove and return the recorded signals in order of arrival."""
        taken: list[int] = []
        while self._arrived:
            number, _frame = self._arrived.popitem()
            taken.append(number)
        return list(reversed(taken))

    def take_one(self, number: int) -> bool:
        """Remove a signal; return whether it was recorded.

        In one step, as it may arrive at any moment.
        """
        return self._arrived.pop(number, _ABSENT) is not _ABSENT


def ignore_signals() -> None:
    """Ignore what :class:`SignalRecord` records, until the process ends.

    The interpreter restores the default actions of signals that have a
    handler before it ends, and one that came then would change the status.
    """
    for number in _RECORDED:
        _signal.signal(number, _signal.SIG_IGN)
