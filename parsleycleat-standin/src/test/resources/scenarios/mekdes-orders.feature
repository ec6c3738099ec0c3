Feature: Orders at Mekdes Button Works
  An order must never be doubled and never be lost. Two order apps, two entries, four data centres' worth of trouble.

  Scenario: An order that is sent again gets the recorded answer
    Given the Mekdes deployment
    When an order is sent through each entry, one after the other, with one idempotency key
    Then all answers are the same and the order ran once

  Scenario: Two entries get the same order at the same time
    Given the Mekdes deployment
    When an order is sent through all entries at once with one idempotency key
    Then the order ran once

  Scenario: A used key with another order is refused
    Given the Mekdes deployment
    When another order is sent with an idempotency key that was used
    Then the answer is IDEMPOTENCY_KEY_REUSED

  Scenario Outline: Orders go on while <what>
    Given the Mekdes deployment
    When with seed <seed> 25 orders are sent while <what>
    Then at least <least> are confirmed

    Examples: one fault
      | seed | least | what                                          |
      | 11   | 25    | nothing fails                                 |
      | 12   | 20    | a service side is killed                      |
      | 13   | 20    | a service side is frozen                      |
      | 14   | 25    | an entry is killed                            |
      | 15   | 25    | an entry is frozen                            |
      | 16   | 25    | the log is out                                |
      | 17   | 25    | the log hangs                                 |
      | 18   | 25    | the log loses answers                         |
      | 19   | 25    | the log is slow                               |
      | 20   | 25    | the VM list is out                            |
      | 21   | 19    | the service cuts its answers                  |
      | 22   | 25    | a service side is stopped in the planned way  |
      | 23   | 25    | an entry is stopped in the planned way        |

    Examples: two faults
      | seed | least | what                                                     |
      | 31   | 20    | a service side is killed and the log loses answers       |
      | 32   | 20    | a service side is frozen and the log is out              |
      | 33   | 20    | a service side is frozen and an entry is killed          |
      | 34   | 19    | the service cuts its answers and the log loses answers   |
      | 35   | 20    | an entry is frozen and a service side is killed          |
