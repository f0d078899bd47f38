"""Start of the platform's program `entry`."""

from bergamotdrift.platform import reload_signal


def main() -> None:
    """Record SIGHUP before the imports, which take longer than all else."""
    reload_signal.record()
    from bergamotdrift.platform.entry_program import run

    run()


if __name__ == "__main__":
    main()
