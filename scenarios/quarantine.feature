Feature: A request that ends each engine that runs it ends few engines, and no other request is refused
  Engines that ended are not restarted; the steps count ended processes.

  Scenario: Copies arrive at each box in turn
    Given 3 boxes and 8 engines
    And call "deadly" ends each engine that runs it
    When call "deadly" is sent 9 times, at each box in turn
    Then at most 4 engines ended
    And the last copy is refused as "request_quarantined", ran "no"
    When these calls are sent one by one
      | call | box   | mark | content  |
      | a    | box-1 | a    | harmless |
      | b    | box-2 | b    | harmless |
      | c    | box-3 | c    | harmless |
    Then call "a" gets a complete answer
    And call "b" gets a complete answer
    And call "c" gets a complete answer

  Scenario: All boxes are killed after the request is quarantined
    Given 2 boxes and 8 engines
    And call "deadly" ends each engine that runs it
    When call "deadly" is sent 6 times, at each box in turn
    And 0.5 s pass
    And "box-1" is killed
    And "box-2" is killed
    And "box-1" is started again
    And "box-2" is started again
    And call "deadly" is sent 4 times, at each box in turn
    Then at most 4 engines ended
    And the last copy is refused as "request_quarantined", ran "no"

  Scenario: A box is frozen until the request is quarantined
    Given 3 boxes and 8 engines
    And call "deadly" ends each engine that runs it
    When "box-3" freezes
    And call "deadly" is sent 8 times, at "box-1" and "box-2" in turn
    And "box-3" resumes
    And 1 s pass
    And call "deadly" is sent 2 times, at "box-3" in turn
    Then at most 4 engines ended
    And the last copy is refused as "request_quarantined", ran "no"

  Scenario: Operators lift the quarantine
    Given 2 boxes and 8 engines
    And call "deadly" ends each engine that runs it
    When call "deadly" is sent 6 times, at each box in turn
    And no call ends an engine any more
    And an operator lifts the quarantine cases of "box-1"
    And 1 s pass
    And call "deadly" is sent 2 times, at each box in turn
    Then the last copy gets a complete answer

  Scenario: Engines end by themselves while a harmless request runs there
    Given 2 boxes and 6 slow engines
    When these calls are sent
      | call | box   | mark | stream | tokens | content | route        |
      | a    | box-1 | same | yes    | 40     | same    | substitution |
    And an engine has started call "same"
    And the engines that run "same" are killed
    And these calls are sent
      | call | box   | mark | stream | tokens | content | route        |
      | b    | box-2 | same | yes    | 40     | same    | substitution |
    And an engine has started call "same"
    And the engines that run "same" are killed
    And 0.5 s pass
    And these calls are sent one by one
      | call | box   | mark | stream | tokens | content | route        |
      | c    | box-1 | same | yes    | 40     | same    | substitution |
      | d    | box-2 | same | yes    | 40     | same    | substitution |
    Then call "c" gets a complete answer
    And call "d" gets a complete answer
