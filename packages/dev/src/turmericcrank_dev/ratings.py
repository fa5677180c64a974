"""Rating of the answers of fake engines.

An answer states the quality of its model version as ``quality=N``. A prompt
may state its difficulty as ``hard=N``. Both range from 0 to 100.
"""

import re

__all__ = ('rate_answer',)

_QUALITY = re.compile(r'quality=(\d+)')
_HARD = re.compile(r'hard=(\d+)')
_MAX_RATING = 100
_UNMARKED_QUALITY = 50


def rate_answer(prompt: str, answer: str) -> float:
    """Rate one answer from 0 to 100.

    Args:
        prompt: Text of the prompt; ``hard=N`` lowers the rating of an
            answer whose quality is below N.
        answer: Text of the answer, with ``quality=N``.
    """
    quality_match = _QUALITY.search(answer)
    hard_match = _HARD.search(prompt)
    quality = int(quality_match.group(1)) if quality_match else 0
    if not quality_match:
        quality = _UNMARKED_QUALITY
    hardness = int(hard_match.group(1)) if hard_match else 0
    shortfall = max(0, hardness - quality)
    return max(0, min(_MAX_RATING, 95 - 2 * shortfall))
