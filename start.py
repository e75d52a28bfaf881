"""Starts the daemon of an entry VM from a checkout.

Run as a file: `-m` would take about as long again until the first statement,
and until then a signal ends the process.
"""

from flamingovalve.util.signal_record import SignalRecord

_RECORD = SignalRecord.installed()

from flamingovalve.cmd import boot

boot.main(_RECORD)
