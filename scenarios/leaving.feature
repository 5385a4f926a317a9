Feature: A leaving engine gets no new work, and a planned stop cuts off no call

  Scenario: One box learns of a leaving engine, and all boxes avoid it
    Given 3 boxes and 2 engines
    And the platform's lists lag by 30 s
    And the engine that ranks first for call "x" will report that it is leaving
    When these calls are sent one by one
      | call | box   | mark | content |
      | a    | box-1 | a    | x       |
    And 1.5 s pass
    And these calls are sent one by one
      | call | box   | mark | content |
      | b    | box-1 | b    | x       |
      | c    | box-2 | c    | x       |
      | d    | box-3 | d    | x       |
    Then call "a" gets a complete answer
    And call "b" gets a complete answer
    And call "c" gets a complete answer
    And call "d" gets a complete answer
    And the engines refused 1 call in total

  Scenario: An engine is listed as leaving while streams run there
    Given 2 boxes and 2 slow engines
    When these calls are sent
      | call | box   | mark | stream | tokens | content |
      | long | box-1 | long | yes    | 40     | x       |
    And an engine has started call "long"
    And the engine that runs "long" is listed as leaving
    And 1.5 s pass
    And these calls are sent one by one
      | call | box   | mark  | content |
      | a    | box-1 | after | x       |
      | b    | box-2 | after | x       |
    Then the engine that ran "long" ran nothing marked "after"
    And call "long" gets a complete answer
    And call "a" gets a complete answer
    And call "b" gets a complete answer

  Scenario: A list that reverts does not revive a leaving engine
    Given 2 boxes and 2 engines
    When these calls are sent one by one
      | call  | box   | mark  | content |
      | first | box-1 | first | x       |
    And the engine that runs "first" is listed as leaving
    And 1.5 s pass
    And the engine that runs "first" is listed as live
    And 1.5 s pass
    And these calls are sent one by one
      | call | box   | mark  | content |
      | a    | box-1 | after | x       |
      | b    | box-2 | after | x       |
    Then the engine that ran "first" ran nothing marked "after"
    And call "a" gets a complete answer

  Scenario: A box is stopped with long streams in flight
    Given 2 boxes and 2 slow engines
    When these calls are sent
      | call | box   | mark | stream | tokens |
      | a    | box-1 | a    | yes    | 90     |
      | b    | box-1 | b    | yes    | 90     |
      | c    | box-1 | c    | no     | 80     |
    And an engine has started call "a"
    And an engine has started call "b"
    And an engine has started call "c"
    And "box-1" is asked to stop
    Then call "a" gets a complete answer
    And call "a" has all its 90 tokens, each once and in order
    And call "b" gets a complete answer
    And call "c" gets a complete answer
    And "box-1" exits with status 0

  Scenario: Only a second signal cuts off calls in flight
    Given 2 boxes and 1 slow engines
    When these calls are sent
      | call | box   | mark | stream | tokens | route        |
      | a    | box-1 | a    | yes    | 200    | substitution |
    And an engine has started call "a"
    And "box-1" is asked to stop
    And 1 s pass
    And "box-1" is asked to stop
    Then "box-1" exits with status 1
    And call "a" gets no complete answer
    And the engine cancelled call "a"

  Scenario: A box is drained by the command line
    Given 2 boxes and 1 slow engines
    When these calls are sent
      | call | box   | mark | stream | tokens |
      | a    | box-1 | a    | yes    | 40     |
    And an engine has started call "a"
    And an operator drains "box-1"
    Then call "a" gets a complete answer
    And "box-1" exits with status 0

  Scenario: All boxes are restarted in turn under load
    Given 3 boxes and 3 engines
    When 6 callers call continuously
    And each box is restarted in turn
    And the callers stop
    Then every call of the callers got a complete answer
    And every call of the callers ran once
