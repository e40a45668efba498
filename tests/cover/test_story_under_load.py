"""A story tells of refusals under load and of believed replica speeds."""

import unittest

from nutmeghook.internal.observe import log_reading
from nutmeghook.internal.observe import story as story_module
from nutmeghook.internal.observe import story_text
from tests import log_lines

REQUEST = log_lines.REQUEST
ended = log_lines.ended
line = log_lines.line
sent = log_lines.sent


def story_lines(path: str) -> list[str]:
    """Returns the lines that `story` prints for the request."""
    files = log_reading.LogFiles(paths=[path])
    return story_text.text_lines(story_module.gather(files, REQUEST))


class StoryUnderLoadTest(log_lines.LogCase):
    def test_the_believed_speed_of_a_replica_is_told_at_each_sending(self):
        """An operator asks why a request was sent to a replica four times as
        slow. Its instance still took it for an average one; the second
        attempt was sent after the instance had learnt better.
        """
        speed = {"replica": "i-1", "weight": 3.5, "source": "peer"}
        path = self.write(
            "edge-1.log",
            [
                line("replica:speed", -900.0, **(speed | {"slowness": 3.0})),
                line("replica:speed", -400.0, **(speed | {"slowness": 1.1})),
                line("replica:speed", -9.0, replica="i-9", slowness=8.0),
                sent(0.0, expected_first_ms=90.0, expected_end_ms=400.0),
                line("replica:speed", 300.0, **(speed | {"slowness": 4.2})),
                sent(350.0, attempt=2),
                sent(360.0, attempt=3, replica="i-9"),
                sent(370.0, attempt=4, replica="i-8"),
                ended(400.0, duration_ms=400),
            ],
        )
        lines = story_lines(path)
        sendings = [text for text in lines if " sent to " in text]
        self.assertIn("expected_first_ms=90 expected_end_ms=400", sendings[0])
        for text, slowness, age_s in zip(
            sendings, ("1.10", "4.20", "8.00"), (0.4, 0.05, 0.369), strict=False
        ):
            self.assertIn(
                f"believed {slowness} times as slow as an average replica since"
                f" {age_s:.3f} s before",
                text,
            )
        self.assertNotIn("believed", sendings[3])
        self.assertIn(
            "| replica:speed (replica=i-1 source=peer slowness=4.2 weight=3.5)",
            "\n".join(lines),
        )

    def test_refusals_and_cuts_under_load_are_explained(self):
        """A team asks why its request was refused or cut; the result code of
        all three is shared by other causes.
        """
        path = self.write(
            "edge-1.log",
            [
                line(
                    "request:no_room",
                    1.0,
                    request=REQUEST,
                    team="search",
                    share=2.5,
                    asked_per_s=20.0,
                    expected_wait_ms=900,
                    retry_after_ms=1200,
                ),
                line(
                    "request:cannot_end",
                    2.0,
                    request=REQUEST,
                    expected_ms=700,
                    left_ms=300,
                ),
                line(
                    "caller:not_reading",
                    3.0,
                    request=REQUEST,
                    held_bytes=65536,
                    unread_ms=4000,
                ),
            ],
        )
        text = "\n".join(story_lines(path))
        for words in (
            "refused, no capacity for team search (share=2.5 asked_per_s=20"
            " expected_wait_ms=900 retry_after_ms=1200)",
            "for its expected end (expected_ms=700 left_ms=300)",
            "the caller does not read its answer (held_bytes=65536"
            " unread_ms=4000)",
        ):
            self.assertIn(words, text)


if __name__ == "__main__":
    unittest.main()
