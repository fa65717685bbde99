"""Checks of a streamed answer: own, in order, ended once and whole."""

from balsamtally.errors import AnswerCut, BackendFailed, WrongAnswer


class AnswerCheck:
    """What was seen of one attempt's answer.

    A streamed answer is whole only after exactly one finish reason, no text behind it, and the
    end marker. The tokens that the runner counted tell of doubled chunks, since a chunk with
    text holds at least one token.

    :ivar text: pieces of the text accepted so far, the offset of a resume
    :ivar chunks: number of those pieces
    :ivar finish_reason: why the answer ended, ``None`` before its end
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

        :param chunk_id: id that the chunk carries
        :param text: its text
        :param finish_reason: why the answer ends with it
        :param completion_tokens: tokens that the runner counted for this attempt
        :raises WrongAnswer: if it belongs to another request or attempt
        :raises BackendFailed: if chunks were doubled or out of order, so that the text can't be
            resumed
        """
        if chunk_id != self.attempt_id:
            raise WrongAnswer(f"{chunk_id!r} came for {self.attempt_id!r}")
        if self._ended:
            raise WrongAnswer("a chunk came after the end marker")
        if self.finish_reason is not None and (text or finish_reason):
            raise BackendFailed("the answer went on after its finish reason")
        if text:
            self.text.append(text)
            self.chunks += 1
        self.finish_reason = self.finish_reason or finish_reason
        if completion_tokens is not None and completion_tokens < self.chunks:
            raise BackendFailed(f"{self.chunks} chunks hold {completion_tokens} tokens")

    def end(self) -> None:
        """Check the end marker.

        :raises AnswerCut: if the answer is not whole
        :raises WrongAnswer: if the answer ended before
        """
        if self._ended:
            raise WrongAnswer("a second end marker came")
        self._ended = True
        if self.finish_reason is None:
            raise AnswerCut("the answer has no finish reason")
