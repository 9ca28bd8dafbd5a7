"""Metrics of prediction errors."""

from kestreltally.fleet_metrics import FleetMetrics, RequestEnd


def test_prediction_errors_are_labelled_by_sign() -> None:
    metrics = FleetMetrics(dict)
    end = RequestEnd("m", "stream", "done", "200", 1.0, 0.0, 0.3, (0.15, -0.3))
    metrics.record_end(end)
    text = metrics.render()[0].decode()
    name = "kestreltally_first_event_error_seconds_sum"
    assert f'{name}{{amiss="too_long",kind="stream"}} 0.15' in text
    assert f'{name}{{amiss="too_short",kind="stream"}} 0.3' in text
