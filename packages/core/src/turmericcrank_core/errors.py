"""Refusals: the error type of the decision functions."""

from dataclasses import dataclass

from turmericcrank_core.codes import CODES, ExecutionStatus, ResultCode

__all__ = ('Refusal',)


@dataclass(slots=True, frozen=True)
class Refusal:
    """An unsuccessful final response to a client.

    Attributes:
        code: Result code.
        detail: Additional English text, such as a parameter and its range.
        retry_after_s: Time until a retry, in seconds; None for no retry.
    """

    code: ResultCode
    detail: str = ''
    retry_after_s: float | None = None

    @property
    def ran(self) -> ExecutionStatus | None:
        """Return whether the request ran; None when it varies by request."""
        return CODES[self.code].ran

    @property
    def message(self) -> str:
        """Return the message for the client."""
        text = CODES[self.code].text
        if self.detail:
            return f'{text} {self.detail}'
        return text
