"""Exit statuses of the daemon."""

EXIT_OK = 0
EXIT_FAILED = 1
EXIT_SETTINGS = 78  # EX_CONFIG
