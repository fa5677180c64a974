"""Typed refusals: the error half of every decision."""

from dataclasses import dataclass

from turmericcrank_core.codes import CODES, Ran, ResultCode

__all__ = ('Refusal',)


@dataclass(slots=True, frozen=True)
class Refusal:
    """A final answer that is not a success.

    Attributes:
        code: Which outcome this is.
        detail: Extra English text, such as the parameter and its range.
        retry_after_s: When to come back, in seconds; None means never.
    """

    code: ResultCode
    detail: str = ''
    retry_after_s: float | None = None

    @property
    def ran(self) -> Ran | None:
        """Tell whether the request ran."""
        return CODES[self.code].ran

    @property
    def message(self) -> str:
        """Give the sentence for the caller."""
        text = CODES[self.code].text
        if self.detail:
            return f'{text} {self.detail}'
        return text
