Feature: The whole path of a request
  A client asks any node which addresses to use, sends its requests there,
  and gets complete responses. Each request is billed once.

  Scenario: Model requests and a booking are answered and billed once
    Given a client of team "tills"
    When the client sends prompt "a quote" to route "quotes"
    And the client streams prompt "a text" from route "texts"
    And the client books "bay 4" with key "order-4"
    And the client books "bay 4" with key "order-4" at another node
    Then each request gets a complete response
    And the second booking gets the stored response of the first
    And "bay 4" is booked once
    And the bills table has 3 bills without duplicates

  Scenario: A key that is used again with another body is refused
    Given a client of team "tills"
    When the client books "bay 5" with key "order-4"
    Then the last response has status 422 and states "not run"

  Scenario: Sessions keep their version, and a forged mark gains nothing
    Given a client of team "planners"
    When the client starts a session on route "quotes"
    And the client continues the session
    Then both responses come from the same version
    When a client of team "tills" uses the token of that session
    Then the last response has status 400 and states "not run"

  Scenario: A team that is not allowed is refused
    Given a client of team "guests"
    When the client sends prompt "a quote" to route "quotes"
    Then the last response has status 403 and states "not run"

  Scenario: A withdrawn version gets no new work on any node
    Given a client of team "planners"
    When the operator withdraws pool "small-1"
    Then the operator sees that it is in force on 3 of 3 nodes
    And no node sends new requests to "small@1"
    And a session on "small@1" gets the error that it has ended

  Scenario: The loser of a race of operators changes nothing
    When two operators edit the same revision
    Then the second one gets a conflict that shows the first one's edit
    And the newest entry of the history is the first one's edit
