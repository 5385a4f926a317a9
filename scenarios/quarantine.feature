Feature: A request that ends each engine that runs it ends few, and nobody else is refused
  Engines that ended stay away; what is counted is their processes.

  Scenario: It comes at each box in turn
    Given 3 boxes and 8 engines
    And call "deadly" ends each engine that runs it
    When call "deadly" comes 9 times, at each box in turn
    Then at most 4 engines ended
    And its last caller is refused as "request_quarantined", ran "no"
    When these calls are sent one by one
      | call | box   | mark | content  |
      | a    | box-1 | a    | harmless |
      | b    | box-2 | b    | harmless |
      | c    | box-3 | c    | harmless |
    Then call "a" is answered whole
    And call "b" is answered whole
    And call "c" is answered whole

  Scenario: All boxes are gone after it is known
    Given 2 boxes and 8 engines
    And call "deadly" ends each engine that runs it
    When call "deadly" comes 6 times, at each box in turn
    And 0.5 s pass
    And "box-1" is killed
    And "box-2" is killed
    And "box-1" is started again
    And "box-2" is started again
    And call "deadly" comes 4 times, at each box in turn
    Then at most 4 engines ended
    And its last caller is refused as "request_quarantined", ran "no"

  Scenario: A box is frozen until it is known
    Given 3 boxes and 8 engines
    And call "deadly" ends each engine that runs it
    When "box-3" freezes
    And call "deadly" comes 8 times, at "box-1" and "box-2" in turn
    And "box-3" goes on
    And 1 s pass
    And call "deadly" comes 2 times, at "box-3" in turn
    Then at most 4 engines ended
    And its last caller is refused as "request_quarantined", ran "no"

  Scenario: Operators lift it
    Given 2 boxes and 8 engines
    And call "deadly" ends each engine that runs it
    When call "deadly" comes 6 times, at each box in turn
    And no call ends an engine any more
    And an operator lifts what "box-1" knows
    And 1 s pass
    And call "deadly" comes 2 times, at each box in turn
    Then its last caller is answered whole

  Scenario: Engines end by themselves while a harmless request runs there
    Given 2 boxes and 6 slow engines
    When these calls are sent
      | call | box   | mark | stream | tokens | content | route        |
      | a    | box-1 | same | yes    | 40     | same    | substitution |
    And an engine has begun call "same"
    And the engines that run "same" are killed
    And these calls are sent
      | call | box   | mark | stream | tokens | content | route        |
      | b    | box-2 | same | yes    | 40     | same    | substitution |
    And an engine has begun call "same"
    And the engines that run "same" are killed
    And 0.5 s pass
    And these calls are sent one by one
      | call | box   | mark | stream | tokens | content | route        |
      | c    | box-1 | same | yes    | 40     | same    | substitution |
      | d    | box-2 | same | yes    | 40     | same    | substitution |
    Then call "c" is answered whole
    And call "d" is answered whole
