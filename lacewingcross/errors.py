"""Errors shown to users, each with a stable code and a readable message."""


class UserError(Exception):
    """An error caused by input; its message is shown to the user unchanged.

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
    """The configured client accounts contradict each other."""


class FrameError(UserError):
    """A frame from another process cannot be decoded."""


class UnreadableError(UserError):
    """A value that another program has written cannot be decoded.

    Parameters
    ----------
    code : str
        ``bad-json`` or ``too-deep``.
    message : str
        What was expected, without the value.
    """


class PlatformError(UserError):
    """The platform refused a call or could not be reached.

    Parameters
    ----------
    code : str
        ``conflict``, ``not-found``, ``unavailable``, ``unknown-outcome``,
        ``too-large``, ``compacted``, ``bad-request`` or ``unreadable``.
    message : str
        Description of the failure.
    """
