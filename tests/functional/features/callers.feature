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
