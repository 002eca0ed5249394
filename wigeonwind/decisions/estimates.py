"""Estimates of service time at one endpoint, from the attempts it has served."""

from wigeonwind.decisions.interfaces import AttemptSpec

MIN_SAMPLE_WEIGHT = 0.05
"""Least weight of a new sample in a moving average: about the last 20 samples count."""

INITIAL_TOKENS = 100.0
"""Assumed answer length before the first answer of a class."""

INITIAL_MS_PER_TOKEN = 20.0
"""Assumed time between tokens before the first sample."""

INITIAL_PREFILL_MS_PER_TOKEN = 0.2
"""Assumed prefill time per prompt token before the first sample."""

INITIAL_CALL_MS = 100.0
"""Assumed duration of a call to a plain service before the first one of a class."""


VARIABLE_LENGTH_DEVIATION = 0.25
"""Mean absolute deviation of answer lengths, relative to their mean, above which the
end of an answer counts as unpredictable. Fixed lengths have 0, exponentially
distributed ones 0.74."""

MIN_LENGTH_SAMPLES = 10
"""Answers of a class that are needed before their deviation is used."""


class MovingAverage:
    """An arithmetic mean of the first samples, then an exponential moving average.

    The initial value counts as one sample. `deviation` is the moving average of the
    absolute deviation from `value`.

    >>> average = MovingAverage(10.0)
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
        """Add one sample."""
        self.count += 1
        weight = max(MIN_SAMPLE_WEIGHT, 1.0 / (self.count + 1))
        self.deviation += weight * (abs(sample - self.value) - self.deviation)
        self.value += weight * (sample - self.value)


class ServiceEstimates:
    """Estimates how long an attempt holds a slot at this endpoint."""

    def __init__(self) -> None:
        self._ms_per_token = MovingAverage(INITIAL_MS_PER_TOKEN)
        self._prefill_ms_per_token = MovingAverage(INITIAL_PREFILL_MS_PER_TOKEN)
        self._first_token_ms = MovingAverage(0.0)
        self._tokens_by_class: dict[str, MovingAverage] = {}
        self._call_ms_by_class: dict[str, MovingAverage] = {}

    @property
    def ms_per_token(self) -> float:
        """Return the mean time between tokens of one answer."""
        return self._ms_per_token.value

    @property
    def prefill_ms_per_token(self) -> float:
        """Return the mean prefill time per prompt token."""
        return self._prefill_ms_per_token.value

    @property
    def first_token_ms(self) -> float:
        """Return the mean time from start to first token."""
        return self._first_token_ms.value

    def answer_tokens(self, class_name: str) -> float:
        """Return the mean answer length of a class in tokens."""
        average = self._tokens_by_class.get(class_name)
        return average.value if average else INITIAL_TOKENS

    def has_variable_length(self, class_name: str) -> bool:
        """Return whether the answer lengths of a class vary widely."""
        average = self._tokens_by_class.get(class_name)
        if average is None or average.count < MIN_LENGTH_SAMPLES:
            return False
        return average.deviation > VARIABLE_LENGTH_DEVIATION * average.value

    def prefill_ms(self, spec: AttemptSpec) -> float:
        """Return the expected time from start to first token, or to a plain answer."""
        if not spec.may_pause:
            return self._call_ms(spec.class_name)
        return (
            spec.prompt_tokens + spec.resume_tokens
        ) * self._prefill_ms_per_token.value

    def slot_ms(self, spec: AttemptSpec) -> float:
        """Return the expected time for which an attempt holds a slot."""
        if not spec.may_pause:
            return self._call_ms(spec.class_name)
        further_tokens = max(0.0, self.answer_tokens(spec.class_name) - 1.0)
        return self.prefill_ms(spec) + further_tokens * self._ms_per_token.value

    def _call_ms(self, class_name: str) -> float:
        average = self._call_ms_by_class.get(class_name)
        return average.value if average else INITIAL_CALL_MS

    def on_first_token(self, spec: AttemptSpec, elapsed_ms: float) -> None:
        """Record the time from start to first token of one attempt."""
        self._first_token_ms.add(elapsed_ms)
        prompt_tokens = max(1, spec.prompt_tokens + spec.resume_tokens)
        self._prefill_ms_per_token.add(elapsed_ms / prompt_tokens)

    def on_tokens(self, tokens: int, elapsed_ms: float) -> None:
        """Record that `tokens` further tokens of one answer took `elapsed_ms`."""
        self._ms_per_token.add(elapsed_ms / tokens)

    def on_done(self, spec: AttemptSpec, tokens: int, slot_ms: float) -> None:
        """Record an attempt that generated `tokens` and held a slot for `slot_ms`."""
        name = spec.class_name
        if not spec.may_pause:
            average = self._call_ms_by_class.setdefault(
                name, MovingAverage(INITIAL_CALL_MS)
            )
            average.add(slot_ms)
        elif tokens:
            average = self._tokens_by_class.setdefault(
                name, MovingAverage(INITIAL_TOKENS)
            )
            average.add(float(tokens))
