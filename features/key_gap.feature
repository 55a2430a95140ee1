Feature: Requests whose key changes hands wait for it, or are told at once when to come back

  # Load pattern: keys rest for 0.8 s while load is levelled among busy targets; requests run 0.3 s
  # and come all the time.
  Scenario Outline: A request waits where it can be answered by its deadline: <at> s into the gap
    Given a target whose last ten hand-overs took 0.8 s
    When its keys rest and a request comes <at> s later with <left> s left, which runs 0.3 s
    Then it <what>

    Examples:
      | at  | left | what                                |
      | 0.0 | 1.2  | waits for at most 0.84 s            |
      | 0.1 | 0.8  | is refused, to come back in 0.7 s   |
      | 0.5 | 0.8  | waits for at most 0.44 s            |
      | 0.5 | 0.5  | is refused, to come back in 0.3 s   |
      | 1.5 | 0.8  | waits for at most 0.44 s            |
      | 1.5 | 0.4  | is refused, to come back in 0.2 s   |

  Scenario: What is expected follows what is seen
    Given a target whose last ten hand-overs took 0.8 s
    When ten hand-overs take 0.1 s
    Then keys are expected to rest for 0.1 to 0.2 s

  Scenario: Of all that come in a gap, none is held for long and then refused
    Given a target whose last ten hand-overs took 0.8 s
    When its keys rest for 0.8 s and requests with 0.8 s left come every 0.05 s, which run 0.3 s
    Then 8 of 16 are served, and the others were refused at once
