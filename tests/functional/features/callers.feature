Feature: A caller at a counter

  Scenario: A completion with a key of the account
    When the caller of "shop" asks for 6 tokens of the model "m"
    Then the answer has 6 tokens

  Scenario: The backend server never sees the key
    When the caller of "shop" asks for 6 tokens of the model "m"
    Then no backend server saw the key of "shop"

  Scenario: A model outside the account
    When the caller of "kiosk" asks for 6 tokens of the model "private"
    Then the request is refused with 403 and was not run

  Scenario: A batch job is submitted and waited for from the command line
    When the caller of "shop" submits a batch of 12 items and waits
    Then the command succeeds and reports 12 completed items
    And the result has one line for each of the 12 items

  Scenario: A cancelled batch job stops
    When the caller of "shop" submits a batch of 1500 items
    And the caller cancels the job
    Then the job ends as cancelled and no more items complete

  Scenario: An account over its rate is told when to come back
    When the caller of "kiosk" sends 40 requests at once over all daemons
    Then at least one is refused with 429, was not run and names the time to come back
    And after that time a request is served

  Scenario: A resent batch job is the same job
    When the caller of "shop" submits 2 items twice under one idempotency key
    Then both answers name the same job
