@cluster.pooled.patient
Feature: Operators edit the table

  Scenario: Plan, apply and log
    Given a file that sets limit to 40 and server "paypost-1" to weight 2 for "paypost"
    When the command "plan FILE" is run
    Then it shows that "service.limit" and "servers/paypost-1.weight" change
    When the command "apply FILE --wait" is run
    Then every daemon acts on the newest rows of "paypost"
    When the command "plan FILE" is run
    Then it shows no change
    When the command "log paypost" is run
    Then it shows "service.limit"

  Scenario: Concurrent changes of different fields both take effect
    When two operators set "limit=11" and "churn_price=3.5" on "paypost" at once
    Then both succeed and both values are in the table

  Scenario: Of two concurrent changes of one field one fails and names both values
    When two operators set "limit=21" and "limit=22" on "paypost" in a forced race
    Then one has exit code 4 and its message names both values

  Scenario: A write whose response is lost is verified by reading the table again
    When the platform loses the next 1 responses to writes
    And the command "set paypost limit=31" is run
    Then the table of "paypost" has limit 31
    And its history has this change once, and each version once

  Scenario: Export to a spreadsheet and import from it
    When the table is exported, limit of "paypost" is edited to 77 and it is imported
    Then the table of "paypost" has limit 77

  Scenario Outline: Invalid input is refused with the offending value
    When the command "<command>" is tried
    Then it ends with exit code <code> and names "<text>"

    Examples:
      | command                            | code | text            |
      | set paypost limit=-4               | 2    | -4              |
      | set paypost colour=red             | 2    | colour          |
      | set nowhere limit=4                | 2    | nowhere         |
      | set paypost/none weight=1          | 2    | none            |
      | set paypost kind=square            | 2    | square          |
      | drain paypost                      | 2    | SERVICE/SERVER  |

  Scenario: The commands "status" and "route" show instances and epochs
    When the command "status" is run
    Then it shows "paypost-2"
    When the command "route roster-app crew-5" is run
    Then it shows "epoch"

  Scenario: A daemon that does not confirm a change is named
    When the daemon "paypost-2" is frozen by name
    And the command "set paypost limit=55 --wait --timeout 3" is tried
    Then it ends with exit code 5 and names "paypost-2"
    When the frozen processes are resumed
    Then every daemon acts on the newest rows of "paypost"

  Scenario: A daemon never returns to an older version
    When the command "set paypost limit=61 --wait" is run
    And an older version of "paypost" is pushed to every daemon
    Then every daemon acts on the newest rows of "paypost"
