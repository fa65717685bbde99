"""JSON-line logs."""

import sys

import structlog


def set_up_logs(vm: str) -> None:
    """Send all log lines to standard error as JSON.

    :param vm: name of the VM, which each line carries
    """
    structlog.configure(
        processors=[
            structlog.contextvars.merge_contextvars,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            structlog.processors.JSONRenderer(),
        ],
        logger_factory=structlog.WriteLoggerFactory(file=sys.stderr),
        cache_logger_on_first_use=True,
    )
    structlog.contextvars.bind_contextvars(vm=vm)


log = structlog.get_logger()
