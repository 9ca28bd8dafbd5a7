"""A clock that tests set."""


class ManualClock:
    """Tells ``now``, which its test moves on."""

    def __init__(self) -> None:
        self.now = 100.0

    def __call__(self) -> float:
        return self.now
