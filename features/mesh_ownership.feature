Feature: Exclusive ownership of keys on a users' platform, in virtual time

  The daemons run the product's decisions; the targets enforce their own leases.

  Scenario: A fleet that starts serves every key within three seconds
    Given a fleet of 4 targets
    Then every key is served after 3 s

  Scenario: An isolated daemon stops granting before others take over
    Given a fleet of 4 targets that serves
    When daemon 2 is isolated from its peers
    Then every key is served by others after 6 s
    And no key ever had two holders

  Scenario: The keys of an instance that is lost permanently are served again within about four seconds
    Given a fleet of 4 targets that serves
    When instance 2 is lost permanently
    Then every key is served after 4.2 s

  Scenario: A daemon that missed the first key map gets it when its entry appears
    Given a fleet of 4 targets that serves
    When daemon 3 restarts and gets no key map from the store
    Then daemon 3 knows the key map after 3 s

  Scenario: No keys move while the store is unavailable
    Given a fleet of 4 targets that serves
    When the store is unavailable for 20 s
    Then every key was served all the time
    And no key changed its holder

  Scenario: A store that discards its history is read again once, not repeatedly
    Given a fleet of 4 targets that serves
    When the store discards its history
    Then the store gets at most 40 calls within 3 s
    And no key changed its holder

  Scenario: No keys move when the store removes entries of running daemons
    Given a fleet of 4 targets that serves
    When the store removes the entry of daemon 1, but not its lease
    Then every key was served for 20 s
    And no key changed its holder
    And daemon 1 has its entry again

  Scenario: All daemons are killed at once and their targets keep their keys
    Given a fleet of 4 targets that serves
    When all daemons are killed and restart after 1.4 s
    Then every key is served after 2 s
    And no key changed its holder

  Scenario: All instances lose power at once
    Given a fleet of 4 targets that serves
    When all instances lose power and restart after 1.4 s
    Then every key is served after 5.5 s
    And no key ever had two holders

  Scenario: A draining target hands its keys over while it still runs
    Given a fleet of 4 targets that serves
    When target 1 starts to drain
    Then target 1 holds no key after 2 s
    And every key is served after 0.5 s

  Scenario: A write that is applied late does not undo a newer one
    Given a fleet of 4 targets that serves
    When the next write to the store is applied 3 s late and target 1 starts to drain
    Then every key is served after 8 s
    And no key ever had two holders

  Scenario: A daemon that was suspended grants nothing from outdated state
    Given a fleet of 4 targets that serves
    When daemon 2 is suspended for 8 s
    Then every key is served after 2 s
    And no key ever had two holders

  Scenario: A planned stop leaves the keys in place while the others have no free capacity for them
    Given a fleet of 4 targets that serves
    When each target gets 64 requests a second while daemon 1 is stopped and restarted
    Then no key changed its holder
    And every key is served after 1 s

  Scenario: A planned stop moves the keys away while the others have free capacity, and no key is unserved for long
    Given a fleet of 4 targets that serves
    When each target gets 8 requests a second while daemon 1 is stopped and restarted
    Then target 1 held no key when its daemon exited
    And no key was unserved for more than 1.2 s in total

  Scenario: The member with the fastest link is the planner, whatever its name
    Given a fleet of 4 targets of which instance 2 has the fastest link
    When it has served for 8 s
    Then daemon 2 is the planner, and all report to it
    When instance 2 is lost permanently
    Then every key is served after 9 s
    And daemon 0 is the planner

  Scenario: A planner that regains contact with the store takes no keys from members it did not hear from
    Given a fleet of 4 targets that serves
    When the planner is cut off from the store for 9 s and its entry is removed at once
    Then no key changed its holder
    And 6 s later no key has changed its holder either

  Scenario: A late heartbeat of a former target is not taken for one of a new target
    Given a fleet of 4 targets that serves
    When daemon 1 gets heartbeat 50 of another target
    Then daemon 1 keeps its target
    When daemon 1 gets heartbeat 1 of another target
    Then daemon 1 switches to the new target

  Scenario: A late first heartbeat is not taken for one of a new target while the present one is connected
    Given a fleet of 4 targets that serves
    When daemon 1, with connections open to its target, gets heartbeat 1 of another target
    Then daemon 1 keeps its target
    And every key is served after 1 s

  Scenario: The most requested keys move to targets with free capacity
    Given a fleet of 4 targets that serves
    When neighbouring keys of target 0 are requested 120 times a second for 3 s
    Then some of them are held by another target
    And every key is served after 1 s

  Scenario Outline: Without a rule two targets hold the same key: <rule>
    Given the rule "<rule>" is removed
    When the case for it is run
    Then two holders are found

    Examples:
      | rule                                                |
      | a hold ends within the lease                        |
      | a witness waits for what it granted                 |
      | a new owner waits for its predecessors              |
      | a witness renews only by a map as new as its own    |
      | a majority of witnesses releases                    |
      | a restarted witness releases after a full lease     |
      | a release is reported only by a map as new as asked |
      | released keys rest until unanswered grants run out  |
      | a restarted daemon waits for its earlier grants     |
      | a hold by call ends within the lease                |
