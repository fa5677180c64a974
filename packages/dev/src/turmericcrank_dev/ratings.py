"""Rating of the answers of fake engines.

An answer states the quality of its model version as ``quality=N``. A prompt
may state its difficulty as ``hard=N``. Both range from 0 to 100.
"""

import re

__all__ = ('rate_answer',)

_QUALITY = re.compile(r'quality=(\d+)')
_DIFFICULTY = re.compile(r'hard=(\d+)')
_MAX_RATING = 100
_DEFAULT_QUALITY = 50


def rate_answer(prompt: str, answer: str) -> float:
    """Rate one answer from 0 to 100.

    Args:
        prompt: Text of the prompt; ``hard=N`` lowers the rating of an
            answer whose quality is below N.
        answer: Text of the answer, with ``quality=N``.
    """
    quality_match = _QUALITY.search(answer)
    difficulty_match = _DIFFICULTY.search(prompt)
    quality = int(quality_match.group(1)) if quality_match else 0
    if not quality_match:
        quality = _DEFAULT_QUALITY
    difficulty = int(difficulty_match.group(1)) if difficulty_match else 0
    shortfall = max(0, difficulty - quality)
    return max(0, min(_MAX_RATING, 95 - 2 * shortfall))
