Feature: A call that may not be repeated runs at most once, and every refusal states truthfully whether it ran
  The steps check the engines' ledgers, not what the routers report.

  Scenario: A ticketed call sent to two boxes at once
    Given 3 boxes and 2 slow engines
    When "box-1" issues ticket "T"
    And these calls are sent
      | call | box   | mark | ticket | route        |
      | a    | box-2 | once | T      | substitution |
      | b    | box-3 | once | T      | substitution |
    Then exactly one of "a" and "b" gets a complete answer
    And the engines ran "once" 1 time

  Scenario: The box that holds the ticket is killed while the call runs
    Given 2 boxes and 2 slow engines
    When "box-1" issues ticket "T"
    And these calls are sent
      | call  | box   | mark | ticket | tokens |
      | first | box-1 | once | T      | 30     |
    And an engine has started call "once"
    And "box-1" is killed
    And these calls are sent one by one
      | call  | box   | mark | ticket |
      | again | box-2 | once | T      |
    Then call "again" is refused as "ticket_unreachable", ran "unknown"
    And the engines ran "once" 1 time

  Scenario: The box that held the ticket is killed and started again
    Given 2 boxes and 2 engines
    When "box-1" issues ticket "T"
    And these calls are sent one by one
      | call  | box   | mark | ticket |
      | first | box-1 | once | T      |
    And "box-1" is killed
    And "box-1" is started again
    And "box-2" knows that "box-1" restarted
    And these calls are sent one by one
      | call  | box   | mark | ticket |
      | there | box-1 | once | T      |
      | other | box-2 | once | T      |
    Then call "first" gets a complete answer
    And call "there" is refused as "ticket_unknown", ran "unknown"
    And call "other" is refused as "ticket_unknown", ran "unknown"
    And the engines ran "once" 1 time

  Scenario: A box freezes with a ticketed call in its queue, and goes on
    Given 2 boxes and 1 slow engines with 1 slots
    When "box-1" issues ticket "T"
    And these calls are sent
      | call | box   | mark | tokens |
      | full | box-2 | full | 20     |
    And an engine has started call "full"
    And these calls are sent
      | call  | box   | mark | ticket | timeout |
      | first | box-1 | once | T      | 4       |
    And call "once" waits in the queue of "box-1"
    And "box-1" freezes
    And these calls are sent
      | call  | box   | mark | ticket | timeout |
      | again | box-2 | once | T      | 4       |
    And 6 s pass
    And "box-1" resumes
    Then call "again" is refused, ran "unknown"
    And the engines ran "once" at most once
    And every report that "once" did not run is true

  Scenario: A box freezes while a ticketed call runs, and goes on
    Given 2 boxes and 2 slow engines
    When "box-1" issues ticket "T"
    And these calls are sent
      | call  | box   | mark | ticket | stream | tokens |
      | first | box-1 | once | T      | yes    | 30     |
    And an engine has started call "once"
    And "box-1" freezes
    And these calls are sent
      | call  | box   | mark | ticket | timeout |
      | again | box-2 | once | T      | 2       |
    And 4 s pass
    And "box-1" resumes
    Then call "first" gets a complete answer
    And call "again" is refused, ran "unknown"
    And the engines ran "once" 1 time

  Scenario: The same idempotency key at two boxes at once
    Given 3 boxes and 2 slow engines
    When these calls are sent
      | call | box   | mark | key | route        |
      | a    | box-1 | once | k-1 | substitution |
      | b    | box-2 | once | k-1 | substitution |
    Then exactly one of "a" and "b" gets a complete answer
    And the engines ran "once" 1 time

  Scenario: A key is used again after its box was killed
    Given 2 boxes and 2 slow engines
    When these calls are sent
      | call  | box   | mark | key | route        | tokens |
      | first | box-1 | once | k-1 | substitution | 30     |
    And an engine has started call "once"
    And "box-1" is killed
    And these calls are sent one by one
      | call  | box   | mark | key | route        | tokens |
      | again | box-2 | once | k-1 | substitution | 30     |
    Then call "again" is refused as "key_in_use", ran "unknown"
    And the engines ran "once" 1 time

  Scenario: The platform is down: keys are refused, tickets work
    Given 2 boxes and 2 engines
    When "box-1" issues ticket "T"
    And the platform is down
    And these calls are sent one by one
      | call   | box   | mark   | key | ticket | route        |
      | keyed  | box-1 | keyed  | k-1 |        | substitution |
      | ticket | box-2 | ticket |     | T      | substitution |
    Then call "keyed" is refused as "claims_unavailable", ran "no"
    And the engines ran "keyed" 0 times
    And call "ticket" gets a complete answer
    And the engines ran "ticket" 1 time

  Scenario: A claim is written but the answer is lost
    Given 2 boxes and 2 engines
    When the platform loses the answers of 2 writes
    And these calls are sent one by one
      | call  | box   | mark | key | route        |
      | first | box-1 | once | k-1 | substitution |
      | again | box-2 | once | k-1 | substitution |
    Then call "first" gets a complete answer
    And call "again" is refused as "key_in_use", ran "unknown"
    And the engines ran "once" 1 time

  Scenario: The platform is slow
    Given 2 boxes and 2 engines
    When the platform answers after 0.4 s
    And these calls are sent
      | call | box   | mark | key | route        |
      | a    | box-1 | once | k-1 | substitution |
      | b    | box-2 | once | k-1 | substitution |
    Then the engines ran "once" at most once
    And every report that "once" did not run is true

  Scenario: A key comes back with another body
    Given 1 boxes and 1 engines
    When these calls are sent one by one
      | call  | box   | mark  | key | route        |
      | first | box-1 | first | k-1 | substitution |
      | other | box-1 | other | k-1 | substitution |
    Then call "first" gets a complete answer
    And call "other" is refused as "key_mismatch", ran "unknown"
    And the engines ran "other" 0 times

  Scenario: An engine dies before the first token of a call that may not be repeated
    Given 2 boxes and 2 engines
    And every engine will die before the first token
    When these calls are sent one by one
      | call | box   | mark | route        |
      | a    | box-1 | once | substitution |
    Then call "a" is refused as "engine_failed", ran "unknown"
    And the engines ran "once" 1 time

  Scenario: An engine dies before the first token of a call that may be repeated
    Given 2 boxes and 2 engines
    And the engine that ranks first for call "again" will die before the first token
    When these calls are sent one by one
      | call | box   | mark  |
      | a    | box-1 | again |
    Then call "a" gets a complete answer
    And the engines ran "again" 2 times

  Scenario: An engine dies in the middle of a stream that may be repeated
    Given 2 boxes and 2 engines
    And the engine that ranks first for call "again" will die after 3 tokens
    When these calls are sent one by one
      | call | box   | mark  | stream | tokens |
      | a    | box-1 | again | yes    | 12     |
    Then call "a" gets a complete answer
    And call "a" has all its 12 tokens, each once and in order

  Scenario: An engine dies in the middle of a stream that may not be repeated
    Given 2 boxes and 2 engines
    And every engine will die after 3 tokens
    When these calls are sent one by one
      | call | box   | mark | stream | route        |
      | a    | box-1 | once | yes    | substitution |
    Then call "a" gets no complete answer
    And call "a" is refused as "answer_cut", ran "unknown"
    And the engines ran "once" 1 time

  Scenario: A stream without its end marker is not passed on as complete
    Given 1 boxes and 1 engines
    And every engine will end its streams early
    When these calls are sent one by one
      | call | box   | mark | stream | route        |
      | a    | box-1 | once | yes    | substitution |
    Then call "a" gets no complete answer
    And call "a" is refused as "answer_cut", ran "unknown"
    And the engines ran "once" 1 time

  Scenario Outline: An engine answers someone else's request
    Given 1 boxes and 1 engines
    And every engine will answer with the id of another request
    When these calls are sent one by one
      | call | box   | mark | stream   | route        |
      | a    | box-1 | once | <stream> | substitution |
    Then call "a" is refused as "answer_mismatch", ran "unknown"
    And the engines ran "once" 1 time

    Examples:
      | stream |
      | no     |
      | yes    |

  Scenario: Engines refuse before they run a call
    Given 1 boxes and 2 engines
    And every engine will refuse
    When these calls are sent one by one
      | call | box   | mark | route        | key |
      | a    | box-1 | once | substitution | k-1 |
    Then call "a" is refused, ran "no"
    And the engines ran "once" 0 times

  Scenario: A key may be used again after the engines refused
    Given 1 boxes and 1 engines
    And every engine will refuse
    When these calls are sent one by one
      | call | box   | mark | route        | key |
      | a    | box-1 | once | substitution | k-1 |
    And every engine will accept again
    And 0.5 s pass
    And these calls are sent one by one
      | call | box   | mark | route        | key |
      | b    | box-1 | once | substitution | k-1 |
    Then call "a" is refused, ran "no"
    And call "b" gets a complete answer
    And the engines ran "once" 1 time

  Scenario: A caller disconnects in the middle of a stream
    Given 1 boxes and 1 slow engines
    When these calls are sent
      | call | box   | mark | stream | tokens |
      | a    | box-1 | gone | yes    | 100    |
    And an engine has started call "gone"
    And the caller of "a" disconnects
    Then the engine cancelled call "gone"
