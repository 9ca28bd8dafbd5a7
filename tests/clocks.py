"""A clock that is set by tests."""


class ManualClock:
    """Returns ``now``, which the test advances."""

    def __init__(self) -> None:
        self.now = 100.0

    def __call__(self) -> float:
        return self.now
