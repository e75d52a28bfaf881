"""Records signals, then imports and runs the command line of the daemon."""

from __future__ import annotations

from flamingovalve.util.signal_record import SignalRecord


def main() -> None:
    """Run the command line."""
    signals = SignalRecord.installed()

    from flamingovalve.cmd import daemon_command

    daemon_command.main(signals)


if __name__ == '__main__':
    main()
