"""Checks that a streamed answer belongs to its request, is in order and is complete."""

from balsamtally.errors import AnswerCut, BackendFailed, WrongAnswer


class AnswerCheck:
    """State of the checks on the answer of one attempt.

    A streamed answer is complete only after exactly one finish reason, no text after that, and the
    end marker. Each chunk with text holds at least one token, so that a token count from the
    runner that is lower than the number of chunks reveals duplicated chunks.

    :ivar text: accepted pieces of text, which give the offset for resuming the answer
    :ivar chunks: number of accepted pieces
    :ivar finish_reason: why the answer is finished, ``None`` before its end
    """

    def __init__(self, attempt_id: str):
        """
        :param attempt_id: id of the request and attempt, which each chunk must carry
        """
        self.attempt_id = attempt_id
        self.text: list[str] = []
        self.chunks = 0
        self.finish_reason: str | None = None
        self._ended = False

    def accept(
        self,
        chunk_id: str,
        text: str = "",
        finish_reason: str | None = None,
        completion_tokens: int | None = None,
    ) -> None:
        """Check the next chunk.

        :param chunk_id: id in the chunk
        :param text: text of the chunk
        :param finish_reason: finish reason in the chunk, ``None`` if the answer goes on
        :param completion_tokens: tokens that the runner counted for this attempt so far
        :raises WrongAnswer: if the chunk belongs to another request or attempt
        :raises BackendFailed: if chunks were duplicated or out of order, so that the answer can't
            be resumed
        """
        if chunk_id != self.attempt_id:
            raise WrongAnswer(f"a chunk of {chunk_id!r} came for {self.attempt_id!r}")
        if self._ended:
            raise WrongAnswer("received a chunk after the end marker")
        if self.finish_reason is not None and (text or finish_reason):
            raise BackendFailed("the answer continued after its finish reason")
        if text:
            self.text.append(text)
            self.chunks += 1
        self.finish_reason = self.finish_reason or finish_reason
        if completion_tokens is not None and completion_tokens < self.chunks:
            raise BackendFailed(f"{self.chunks} chunks, but {completion_tokens} tokens")

    def end(self) -> None:
        """Check the answer at its end marker.

        :raises AnswerCut: if the answer is incomplete
        :raises WrongAnswer: if this is the second end marker
        """
        if self._ended:
            raise WrongAnswer("received a second end marker")
        self._ended = True
        if self.finish_reason is None:
            raise AnswerCut("the answer has no finish reason")
