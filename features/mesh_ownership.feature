Feature: Sole ownership of keys on a users' platform, in virtual time

  The daemons' decisions are the real ones; targets enforce leases of their own.

  Scenario: A fleet that starts serves every key within three seconds
    Given a fleet of 4 targets
    Then every key is served after 3 s

  Scenario: A daemon that is cut off from its peers stops granting before others take over
    Given a fleet of 4 targets that serves
    When the peers of daemon 2 are cut off
    Then every key is served by others after 6 s
    And no key ever had two holders

  Scenario: An instance that is lost for good gives its keys up within four seconds
    Given a fleet of 4 targets that serves
    When instance 2 is lost for good
    Then every key is served after 4.2 s

  Scenario: A daemon that missed the first key map gets it when its entry appears
    Given a fleet of 4 targets that serves
    When daemon 3 starts anew and hears nothing from the store's key maps
    Then daemon 3 knows the key map after 3 s

  Scenario: A store that is away moves nothing
    Given a fleet of 4 targets that serves
    When the store is away for 20 s
    Then every key was served all the time
    And no key changed its holder

  Scenario: A store that forgets its history is read anew once, not over and over
    Given a fleet of 4 targets that serves
    When the store forgets its history
    Then the store gets at most 40 calls within 3 s
    And no key changed its holder

  Scenario: Entries that the store takes away from living daemons move nothing
    Given a fleet of 4 targets that serves
    When the store takes the entry of daemon 1 away, but not its lease
    Then every key was served for 20 s
    And no key changed its holder
    And daemon 1 has its entry again

  Scenario: All daemons are killed at once and their targets keep their keys
    Given a fleet of 4 targets that serves
    When all daemons are killed and start again after 1.4 s
    Then every key is served after 2 s
    And no key changed its holder

  Scenario: Everything loses power at once
    Given a fleet of 4 targets that serves
    When everything loses power and starts again after 1.4 s
    Then every key is served after 5.5 s
    And no key ever had two holders

  Scenario: A target that leaves hands its keys over while it still runs
    Given a fleet of 4 targets that serves
    When target 1 says that it leaves
    Then target 1 holds no key after 2 s
    And every key is served after 0.5 s

  Scenario: A write that is done late does not undo a newer one
    Given a fleet of 4 targets that serves
    When the next write of the store is done 3 s late and target 1 says that it leaves
    Then every key is served after 8 s
    And no key ever had two holders

  Scenario: A daemon that stood still grants nothing by what it knew before
    Given a fleet of 4 targets that serves
    When daemon 2 stands still for 8 s
    Then every key is served after 2 s
    And no key ever had two holders

  Scenario: A planned stop leaves the keys where they are while the others have no room for them
    Given a fleet of 4 targets that serves
    When each target is asked for 64 requests a second while daemon 1 is stopped and started again
    Then no key changed its holder
    And every key is served after 1 s

  Scenario: A planned stop moves the keys away while the others have room, and no key rests long
    Given a fleet of 4 targets that serves
    When each target is asked for 8 requests a second while daemon 1 is stopped and started again
    Then target 1 held no key when its daemon ended
    And no key rested for more than 1.2 s in all

  Scenario: The member with the fastest link plans, whatever its name
    Given a fleet of 4 targets of which instance 2 has the fastest link
    When it has served for 8 s
    Then daemon 2 plans, and all report to it
    When instance 2 is lost for good
    Then every key is served after 9 s
    And daemon 0 plans

  Scenario: A planner that returns from a cut to the store takes no keys from those it did not hear
    Given a fleet of 4 targets that serves
    When the planner is cut off from the store for 9 s and its entry is taken away at once
    Then no key changed its holder
    And 6 s later no key has changed its holder either

  Scenario: A late heartbeat of a former target does not pass for a new one
    Given a fleet of 4 targets that serves
    When a heartbeat comes to daemon 1 from a target that has counted 50 calls
    Then daemon 1 goes on with the target that it had
    When a heartbeat comes to daemon 1 from a target that has counted 1 calls
    Then daemon 1 goes on with the new target

  Scenario: A late first heartbeat does not pass for a new target while the present one is connected
    Given a fleet of 4 targets that serves
    When a heartbeat comes to daemon 1, with connections open, from a target that has counted 1 calls
    Then daemon 1 goes on with the target that it had
    And every key is served after 1 s

  Scenario: Keys that are asked for more than all others move to targets with room
    Given a fleet of 4 targets that serves
    When neighbouring keys of target 0 are asked for 120 times a second for 3 s
    Then some of them are held by another target
    And every key is served after 1 s

  Scenario Outline: Without a rule two targets hold the same key: <rule>
    Given the rule "<rule>" is removed
    When the case for it is played
    Then two holders are found

    Examples:
      | rule                                              |
      | a hold ends within the lease                      |
      | a witness waits for what it granted               |
      | a new owner waits for its predecessors            |
      | a witness renews only by a map as new as its own  |
      | a majority of witnesses releases                  |
      | a restarted witness releases after a full lease   |
      | a release is told only by a map as new as asked   |
      | released keys rest until unanswered grants run out |
      | a restarted daemon waits for its earlier grants   |
      | a hold by call ends within the lease              |
