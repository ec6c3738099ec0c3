Feature: Bookings and itineraries at Schieferpfad Exkursionen
  A booking is recorded once, and a guest's answer comes whole from the right adapter and version.

  Scenario Outline: Bookings go on while <what>
    Given the Schieferpfad deployment
    When with seed <seed> 20 bookings are sent while <what>
    Then at least <least> are confirmed

    Examples:
      | seed | least | what                                          |
      | 41   | 14    | a service side is killed                      |
      | 42   | 14    | a service side is frozen and the log is slow  |

  Scenario Outline: Itineraries are answered while <what>
    Given the Schieferpfad deployment
    When with seed <seed> 25 completions are sent while <what>
    Then all 25 are confirmed

    Examples:
      | seed | what                                                       |
      | 51   | nothing fails                                              |
      | 52   | an engine side is killed                                   |
      | 53   | an engine side is frozen                                   |
      | 54   | an engine restarts empty                                   |
      | 55   | an entry is killed                                         |
      | 56   | the log is out                                             |
      | 57   | an engine side is stopped in the planned way               |
      | 58   | an engine restarts empty and an entry is frozen            |
      | 59   | an engine side is frozen and the log hangs                 |

  Scenario: A leaving engine gets nothing new
    Given the Schieferpfad deployment
    When an engine is leaving and with seed 61 70 completions are sent
    Then all 70 are confirmed

  Scenario: A request that crashes engines is sent again and again
    Given the Schieferpfad deployment
    When with seed 62 40 completions are sent beside one that crashes engines, sent 6 times
    Then at most 2 engines crashed and the last of these answers is QUARANTINED
    And all 40 are confirmed

  Scenario: A frozen side wakes beside its successor, before an engine that ignores fencing numbers
    Given the Schieferpfad deployment
    When the side of an engine is frozen, replaced and wakes while with seed 63 60 completions are sent
    Then all 60 are confirmed

  Scenario: An accepted change stays while entries are replaced and the log is out
    Given the Schieferpfad deployment
    When a change is accepted, the log goes out and an entry is replaced
    Then every entry shows the change

  Scenario: Operators race each other
    Given the Schieferpfad deployment
    When 8 operators change the rate of one client account at once
    Then exactly one of them is accepted and the others are told of the conflict

  Scenario: A withdrawn key stops working
    Given the Schieferpfad deployment
    When the key is withdrawn
    Then requests through every entry are refused within 5 seconds

  Scenario: A key that is withdrawn while the log is out stops working
    Given the Schieferpfad deployment
    When the key is withdrawn while the log is out
    Then requests through every entry are refused within 5 seconds
