Feature: The lease of a target that follows another one on its instance, in virtual time

  # Guards against keys that two targets hold at once: the next target was granted keys under the
  # lease of the former one, which its own witnesses do not know. When its daemon is isolated and its
  # keys move, they confirm at once that it holds none.
  Scenario Outline: A daemon is isolated just after its next target got keys, and the keys move
    Given a fleet of 5 targets in 3 failure domains, with targets that take their keys by <way>
    When target 2 is killed and replaced <after> s after the start
    And daemon 2 is isolated as soon as its target holds keys, and its failure domain is drained
    Then no key has two holders in the next 4 s

    Examples:
      | way       | after |
      | heartbeat | 5     |
      | heartbeat | 5.1   |
      | heartbeat | 5.2   |
      | heartbeat | 5.3   |
      | call      | 5     |
      | call      | 5.1   |
      | call      | 5.2   |
      | call      | 5.3   |

  # Guards against a renewal of the former target's lease that arrives after the next target's first
  # heartbeat: it made the next target's keys be granted under that lease.
  Scenario Outline: A late renewal of the former target does not count for the next one
    Given a fleet of 5 targets in 3 failure domains, with targets that take their keys by <way>
    When renewals take 0.08 s to arrive, and target 2 is replaced at once <after> s after the start
    And daemon 2 is isolated once its target holds keys or 4 s have passed, and its failure domain is drained
    Then no key has two holders in the next 4 s

    Examples:
      | way       | after |
      | heartbeat | 5     |
      | heartbeat | 5.08  |
      | heartbeat | 5.16  |
      | heartbeat | 5.24  |
      | heartbeat | 5.32  |
      | call      | 5     |
      | call      | 5.08  |
      | call      | 5.16  |
      | call      | 5.24  |
      | call      | 5.32  |
