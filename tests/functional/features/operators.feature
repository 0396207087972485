Feature: An operator runs the fleet

  Scenario: A new client account gets a key and makes its first request
    When the operator adds the account "cafe" with rate 5 and burst 20
    And the operator grants a key to "cafe"
    Then the key completes a request on every daemon

  Scenario: A withdrawn key stops working on every daemon
    Given a key of the account "shop" that works on every daemon
    When the operator withdraws the key
    Then within 5 seconds every daemon refuses the key

  Scenario: The loser of a race learns the version in force
    When two operators change the account "shop" against the same version
    Then one of them is told which version is in force
    And the account "shop" is as the winner set it

  Scenario: What is still used cannot be deleted
    When the operator deletes the route "m"
    Then the command fails and names the backend servers that use it

  Scenario: A leaving backend server gets no new work
    Given a request was served by "engine2"
    When the operator marks "engine2" as leaving
    Then after 3 seconds no request reaches "engine2"

  Scenario: A command without a right or an address fails with one line
    When a caller lists the accounts with its own key
    Then the command fails with one line that says which role is needed
