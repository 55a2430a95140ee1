Feature: A daemon that has ended its planned stop takes nothing more

  # Between the decision to end and the end of the process the daemon adopted a record that gave it
  # shards, granted them to its server, and a request that it ran ended with the process.
  Scenario: A record that arrives after the end of a planned stop is not adopted
    Given a daemon that has ended its planned stop
    When a peer sends it a record that gives it every shard
    Then it has adopted no record
    And its server gets no grant

  # A member that owned nothing for a moment, while the record still named it active, ended as
  # drained, and the next record gave it shards.
  Scenario Outline: A daemon that has nothing to hand over ends when the record names its stop: <case>
    Given a member of a cell of 3 that owns no shard and whose planned stop has begun
    When <seconds> s have passed and the record names it <state>
    Then it <ends>

    Examples:
      | case                         | seconds | state    | ends         |
      | requests may still come      | 0.9     | stopping | goes on      |
      | shards may still be given    | 1.2     | active   | goes on      |
      | an operator may end a drain  | 1.2     | draining | goes on      |
      | it may be admitted           | 1.2     | nowhere  | goes on      |
      | nothing will be given        | 1.2     | stopping | ends         |
      | the record cannot be written | 3.1     | active   | ends         |
      | it was not admitted          | 3.1     | nowhere  | ends         |
      | another daemon may join      | 1.2     | alone    | goes on      |
      | no other daemon has joined   | 3.1     | alone    | ends         |
