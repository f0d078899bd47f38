"""Start of the platform's program `control`."""

from bergamotdrift.platform import reload_signal


def main() -> None:
    """Record SIGHUP before the imports, which take longer than all else."""
    reload_signal.record()
    from bergamotdrift.platform.control_program import run

    run()


if __name__ == "__main__":
    main()
