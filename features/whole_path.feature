Feature: The whole path of a request
  A caller asks any node which addresses to use, sends its requests there,
  and gets whole answers that are billed once.

  Scenario: Model requests and a booking are answered and billed once
    Given a caller of team "tills"
    When the caller asks route "quotes" for "a quote" whole
    And the caller asks route "texts" for "a text" as a stream
    And the caller books "bay 4" with key "order-4"
    And the caller books "bay 4" with key "order-4" at another node
    Then each request is answered whole
    And the second booking is the kept answer of the first
    And "bay 4" is booked once
    And the ledger holds 3 bills, each once

  Scenario: A key that is used again with another body is refused
    Given a caller of team "tills"
    When the caller books "bay 5" with key "order-4"
    Then the last answer has status 422 and says "not run"

  Scenario: Sessions keep their version, and a forged mark gains nothing
    Given a caller of team "planners"
    When the caller starts a session on route "quotes"
    And the caller goes on with the session
    Then both answers come from the same version
    When a caller of team "tills" uses the mark of that session
    Then the last answer has status 400 and says "not run"

  Scenario: A team that is not allowed is refused
    Given a caller of team "guests"
    When the caller asks route "quotes" for "a quote" whole
    Then the last answer has status 403 and says "not run"

  Scenario: A withdrawn version gets no new work on any node
    Given a caller of team "planners"
    When the operator withdraws pool "small-1"
    Then the operator is told that it is in force on 3 of 3 nodes
    And no node sends "small@1" new work
    And a session on "small@1" is told that it has ended

  Scenario: The loser of a race of operators changes nothing
    When two operators edit the same revision
    Then the second one gets a conflict that shows the first one's change
    And the history ends with the first one's change
