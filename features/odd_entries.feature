Feature: An odd entry of another writer harms nobody, in virtual time

  # Guards against daemons that stop to follow the members for good: the error for a deeply nested field
  # could not be written, and the loop that had read it ended.
  Scenario Outline: A member entry with an odd field is skipped: <field> <value>
    Given a fleet of 4 targets that serves
    When another writer adds an entry of a member with the <field> <value>
    Then all daemons follow when target 1 is replaced
    And a daemon that is started now follows as well
    And no daemon knows that member

    Examples:
      | field           | value                  |
      | state           | nested 1000 deep       |
      | slots           | nested 1000 deep       |
      | target          | nested 1000 deep       |
      | peer_address    | nested 1000 deep       |
      | cold_until      | nested 1000 deep       |
      | stopping        | nested 1000 deep       |
      | whole entry     | nested 1000 deep       |
      | whole entry     | nested 100000 deep     |
      | state           | 1e400                  |
      | slots           | 1e308                  |
      | slots           | 9223372036854775807    |
      | slots           | 65537                  |
      | slots           | -1                     |
      | cold_until      | 1e308                  |
      | link_mbit_per_s | -1                     |
      | peer_address    | "10.0.0.9:0"           |
      | peer_address    | "10.0.0.9:65536"       |
      | peer_address    | "10.0.0.9:99999999999999999999" |
      | peer_address    | "10.0.0.9:-1"          |
      | peer_address    | "10.0.0.9:٨٠"          |
      | peer_address    | "10.0.0.9:²"           |
      | target          | of 100000 characters   |
      | service         | of 100000 characters   |
      | failure_domain  | of 100000 characters   |
      | whole entry     | of 100000 characters   |

  Scenario Outline: An odd entry elsewhere is skipped: <key>
    Given a fleet of 4 targets that serves
    When another writer adds an entry at "<key>" that is nested 1000 deep in each field
    Then all daemons follow when target 1 is replaced
    And a daemon that is started now follows as well

    Examples:
      | key                    |
      | members/crashes/odd    |
      | holders/odd            |
      | keymaps/odd            |
      | departures/instance-1  |
      | eras/odd               |

  # Guards against a loop that ends for good on an exception that nobody expected.
  Scenario Outline: A change that cannot be processed does not end the loop that read it: <where>
    Given a fleet of 4 targets that serves
    When <where> fails once at daemon 2 with an unexpected error
    Then all daemons follow when target 1 is replaced
    And daemon 2 still has its entry after 6 s

    Examples:
      | where                          |
      | applying a member's entry      |
      | reading the store              |
      | renewing the lease             |
