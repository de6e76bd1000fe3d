"""Names, formats and calls of the platform that the daemon runs on."""
