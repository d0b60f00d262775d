"""Global traffic steering for fleets of callers that all wake on the hour."""

__version__ = "0.1.0"
