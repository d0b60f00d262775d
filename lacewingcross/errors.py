"""User-facing errors: each has a stable code and a message fit to be shown."""


class UserError(Exception):
    """An error caused by input, shown to the user as it is.

    Parameters
    ----------
    code : str
        Stable identifier in kebab case, safe to match in scripts.
    message : str
        One sentence that says what is wrong and what was expected.
    """

    def __init__(self, code: str, message: str) -> None:
        super().__init__(f"{code}: {message}")
        self.code = code
        self.message = message


class SettingsError(UserError):
    """A settings file cannot be used."""


class ResourceError(UserError):
    """A resource document cannot be accepted."""


class AccountError(UserError):
    """Client accounts that contradict each other."""


class FrameError(UserError):
    """A frame from another process cannot be decoded."""


class PlatformError(UserError):
    """The platform refused a call or could not be reached.

    Parameters
    ----------
    code : str
        ``conflict``, ``not-found``, ``unavailable``, ``unknown-outcome``,
        ``too-large``, ``compacted`` or ``bad-request``.
    message : str
        What happened.
    """
