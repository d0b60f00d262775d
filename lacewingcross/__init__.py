"""Global traffic steering for fleets of callers that all become active on the hour."""

__version__ = "0.1.0"
