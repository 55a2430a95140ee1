Feature: Another daemon becomes the planner, in virtual time

  What a new planner does not know yet about an owner must not move the owner's keys.

  # Guards against keys that a new planner gives back to a target whose daemon stops: the former
  # planner had moved them away, and the new one has not decided about the stop.
  Scenario Outline: A new planner gives no keys to a target whose daemon is stopping
    Given a fleet of 4 targets that serves
    When each target gets 8 requests a second and daemon 2 is stopped and restarted
    And the planner's daemon is stopped <delay> s later
    Then target 2 gets no key until its daemon is back

    Examples:
      | delay |
      | 0.5   |
      | 1     |
      | 1.5   |
      | 2     |

  # Guards against keys that a new planner gives back to a target that has not reported to it: the
  # former planner had moved them away, and the target's entry does not show why.
  Scenario Outline: A new planner gives no keys to a target without keys that has not reported to it
    Given a fleet of 4 targets that serves
    When <event>, and the planner has moved the keys of target 2
    And the planner's target starts to drain
    Then target 2 gets no key within 3 s
    And every key is served after 1 s

    Examples:
      | event                                               |
      | instance 2 is lost just after it renewed its lease  |
      | daemon 2 is isolated from its peers                 |
      | target 2 drains while the store refuses its daemon  |

  # Guards against keys that stay with an isolated instance for good: the new planner has never had
  # a report of it, and takes its entry in the store as a sign of life.
  Scenario: A new planner moves the keys of an instance that it never hears from
    Given a fleet of 4 targets that serves
    When daemon 2 is isolated from its peers and the planner's target starts to drain
    Then every key is served after 11 s

  # Guards against a planner that assigns all keys to itself: the owners report to another one.
  Scenario: A planner to which most owners do not report takes no keys from them
    Given a fleet of 4 targets that serves
    When daemon 1 gets no report, and the planner's target starts to drain
    Then targets 2 and 3 keep their keys for 15 s
