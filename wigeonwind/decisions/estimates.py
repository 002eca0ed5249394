"""Estimates of service time at one endpoint, learnt from what it has served."""

from wigeonwind.decisions.interfaces import AttemptSpec

SMOOTHING = 0.05
"""Weight of a new sample once many are known; about the last 20 count."""

INITIAL_TOKENS = 100.0
"""Answer length assumed before the first answer of a class."""

INITIAL_MS_PER_TOKEN = 20.0
"""Time between tokens assumed before the first token."""

INITIAL_PREFILL_MS_PER_TOKEN = 0.2
"""Time per prompt token assumed before the first answer."""

INITIAL_CALL_MS = 100.0
"""Duration of a call to a plain service assumed before the first one."""


UNEVEN_DEVIATION = 0.25
"""Mean deviation of answer lengths, as a share of their mean, from which an end is as
likely at one moment as at another. A fixed length has 0, a memoryless one 0.74."""

UNEVEN_SAMPLES = 10
"""Answers of a class before their lengths are judged."""


class Average:
    """A mean that starts as a plain average and turns into an exponential one.

    The initial value counts as one sample.

    >>> average = Average(10.0)
    >>> average.add(20.0)
    >>> average.value
    15.0
    """

    __slots__ = ("count", "deviation", "value")

    def __init__(self, initial: float) -> None:
        self.value = initial
        self.deviation = 0.0
        self.count = 0

    def add(self, sample: float) -> None:
        """Include one sample."""
        self.count += 1
        weight = max(SMOOTHING, 1.0 / (self.count + 1))
        self.deviation += weight * (abs(sample - self.value) - self.deviation)
        self.value += weight * (sample - self.value)


class ServiceEstimates:
    """What one attempt costs at this endpoint, in milliseconds of one slot."""

    def __init__(self) -> None:
        self._ms_per_token = Average(INITIAL_MS_PER_TOKEN)
        self._prefill_ms = Average(INITIAL_PREFILL_MS_PER_TOKEN)
        self._first_ms = Average(0.0)
        self._tokens_by_class: dict[str, Average] = {}
        self._call_ms_by_class: dict[str, Average] = {}

    @property
    def ms_per_token(self) -> float:
        """Return the mean time between tokens of one answer."""
        return self._ms_per_token.value

    @property
    def prefill_ms_per_token(self) -> float:
        """Return the mean time per prompt token before the first answer token."""
        return self._prefill_ms.value

    @property
    def first_token_ms(self) -> float:
        """Return the mean time from start to first token."""
        return self._first_ms.value

    def answer_tokens(self, class_name: str) -> float:
        """Return the mean answer length of a class in tokens."""
        known = self._tokens_by_class.get(class_name)
        return known.value if known else INITIAL_TOKENS

    def is_uneven(self, class_name: str) -> bool:
        """Return whether the answers of a class differ widely in length."""
        known = self._tokens_by_class.get(class_name)
        if known is None or known.count < UNEVEN_SAMPLES:
            return False
        return known.deviation > UNEVEN_DEVIATION * known.value

    def prefill_ms(self, spec: AttemptSpec) -> float:
        """Return the expected time from start to the first result."""
        if not spec.may_pause:
            return self._call_ms(spec.class_name)
        return (spec.prompt_tokens + spec.resume_tokens) * self._prefill_ms.value

    def hold_ms(self, spec: AttemptSpec) -> float:
        """Return the expected time for which the attempt holds a slot."""
        if not spec.may_pause:
            return self._call_ms(spec.class_name)
        further_tokens = max(0.0, self.answer_tokens(spec.class_name) - 1.0)
        return self.prefill_ms(spec) + further_tokens * self._ms_per_token.value

    def _call_ms(self, class_name: str) -> float:
        known = self._call_ms_by_class.get(class_name)
        return known.value if known else INITIAL_CALL_MS

    def on_first_token(self, spec: AttemptSpec, elapsed_ms: float) -> None:
        """Record the time from start to first token of one attempt."""
        self._first_ms.add(elapsed_ms)
        prompt_tokens = max(1, spec.prompt_tokens + spec.resume_tokens)
        self._prefill_ms.add(elapsed_ms / prompt_tokens)

    def on_tokens(self, tokens: int, elapsed_ms: float) -> None:
        """Record that `tokens` further tokens of one answer took `elapsed_ms`."""
        self._ms_per_token.add(elapsed_ms / tokens)

    def on_done(self, spec: AttemptSpec, tokens: int, held_ms: float) -> None:
        """Record an attempt that has ended; `tokens` were generated in it."""
        name = spec.class_name
        if not spec.may_pause:
            average = self._call_ms_by_class.setdefault(name, Average(INITIAL_CALL_MS))
            average.add(held_ms)
        elif tokens:
            average = self._tokens_by_class.setdefault(name, Average(INITIAL_TOKENS))
            average.add(float(tokens))
