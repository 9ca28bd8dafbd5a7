"""Systems: functions that read and update a daemon's tables on each tick."""
