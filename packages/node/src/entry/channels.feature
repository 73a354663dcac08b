Feature: Connections carry one call at a time and none after a wrong answer

  Background:
    Given a server that follows a script

  Scenario: A whole answer is read and its connection used again
    When calls are answered "whole, whole, whole"
    Then the results are "200 body, 200 body, 200 body"
    And 1 connections were opened

  Scenario Outline: After a wrong answer the connection is not used again
    When calls are answered "<script>"
    Then the results are "<results>"
    And <opened> connections were opened

    Examples:
      | script                  | results                    | opened |
      | whole and extra, whole  | 200 body, 200 body         | 2      |
      | torn, whole             | unknown, 200 body          | 2      |
      | nonsense, whole         | unknown, 200 body          | 2      |
      | closed, whole           | unknown, 200 body          | 2      |
      | reset, whole            | unknown, 200 body          | 2      |
      | without length, whole   | 200 body to the end, 200 body | 2   |
      | reset without length, whole | unknown, 200 body      | 2      |
      | early, whole            | 413 body, 200 body         | 2      |
      | last, whole             | 200 body, 200 body         | 2      |

  # Guards against parts of answers that look whole as the reset comes with their last bytes (MIXED).
  Scenario Outline: An answer without a length whose connection is reset is not whole
    When calls are answered "<script>, whole"
    Then the results are "<results>, 200 body"

    Examples:
      | script                                | results            |
      | reset at once without length          | unknown            |
      | early without length; reset at once   | unknown            |
      | early without length; reset later     | unknown            |
      | early without length; ended           | 200 body to the end |

  # Guards against bytes that are no answer of the protocol, passed on as one (MIXED).
  Scenario Outline: A head that the protocol does not allow is no answer
    When a call is answered with the head "<head>"
    Then the results are "unknown"

    Examples:
      | head                                         |
      | 000 X; content-length: 4                     |
      | 099 X; content-length: 4                     |
      | 600 X; content-length: 4                     |
      | 999 X; content-length: 4                     |
      | 20 X; content-length: 4                      |
      | 2000 X; content-length: 4                    |
      | 200 X; x y: 1; content-length: 4             |
      | 200 X; content-length : 4                    |
      | 200 X;  x: 1; content-length: 4              |
      | 200 X; x: 1;  content-length: 4              |
      | 200 X; x<01>y: 1; content-length: 4          |
      | 200 X; x<00>y: 1; content-length: 4          |
      | 200 X; x<7f>y: 1; content-length: 4          |
      | 200 X; : 1; content-length: 4                |
      | 200 X; x; content-length: 4                  |
      | 200 X; x: <01>; content-length: 4            |
      | 200 X; content-length: 2; content-length: 4  |
      | 200 X; transfer-encoding: identity           |
      | 200 X; transfer-encoding: gzip               |
      | 200 X; transfer-encoding: chunked, gzip      |

  Scenario: An answer that is given up closes its connection at once
    When a call is given up while its answer arrives
    Then the server sees its connection closed
    And the results are "unknown"

  Scenario: A refused connection certainly did not run the call
    When a call goes to an address where nothing listens
    Then the results are "not sent"

  # Guards against addresses of the list that ended the process or answered calls with 502.
  Scenario Outline: A call to an address that is none is not sent
    When a call goes to the address "<address>"
    Then the results are "not sent"
    And a probe of the address "<address>" fails

    Examples:
      | address         |
      | 127.0.0.1:99999 |
      | 127.0.0.1:0     |
      | 999.0.0.1:80    |
      | 127.0.0.1       |

  # Guards against an answer whose head is cut and that looks like one without a body.
  Scenario Outline: A server that closes within the head of its answer has given none
    When calls are answered "<script>, whole"
    Then the results are "<results>, 200 body"

    Examples:
      | script                    | results           |
      | head of 7 bytes           | unknown           |
      | head of 15 bytes          | unknown           |
      | head of 17 bytes          | unknown           |
      | head of 33 bytes          | unknown           |
      | head of 34 bytes          | unknown           |
      | head of 37 bytes          | unknown           |
      | whole, head of 17 bytes   | 200 body, unknown |
      | whole, head of 34 bytes   | 200 body, unknown |
      | whole, head of 36 bytes   | 200 body, unknown |

  Scenario: A connection that was idle for too long is not trusted
    When calls are answered "whole"
    And the next call allows an idle time of 0 ms and is answered "whole"
    Then 2 connections were opened

  Scenario: A call with a connection of its own uses no idle one, and leaves at most one
    When calls are answered "whole"
    And a call with a connection of its own is answered "whole"
    Then 2 connections were opened
    And the server has seen 1 connections end
    When calls are answered "whole"
    Then 2 connections were opened

  # Guards against calls that are checked, and written a turn of the event loop later (DRAIN).
  Scenario: A call on a used connection is checked when it is written
    When calls are answered "whole"
    And a call may not be written any more when its connection is ready
    Then the results are "200 body, not sent"
    And the server has got 1 requests
    And the server has seen 1 connections end

  Scenario: A write that comes long after its check is told
    When the process stands still for 60 ms while it writes a call
    Then it is told at least 60 ms after the check that the call is written

  # Guards against the copy of a refusal, taken for the answer to the same call (REFUSED, TWICE).
  Scenario: A call is not sent over a connection that has brought a refusal of it
    When the call "a" is refused
    And the call "a" is answered "whole"
    Then 2 connections were opened
    When the call "b" is answered "whole"
    And the call "a" is answered "whole"
    Then 2 connections were opened
    And no call found a connection with a refusal of it

  Scenario: A call that wants no refusal before its answer uses no connection that has brought one
    When the call "a" is refused
    And the call "b" that wants no refusal is answered "whole"
    Then 2 connections were opened
    When the call "c" that wants no refusal is answered "whole"
    Then 2 connections were opened

  # Guards against idle connections that no call takes, until the server accepts no more.
  Scenario: Connections that have brought a refusal do not pile up
    When 12 calls that want no refusal are refused
    Then 12 connections were opened
    And the server has seen 11 connections end

  Scenario: A connection is closed after 32 refusals
    When 31 calls are refused
    Then 1 connections were opened
    When the call "a" is refused
    And the call "b" is answered "whole"
    Then 2 connections were opened
    And the server has seen 1 connections end

  Scenario: An idle connection that the server closes is not used again
    When calls are answered "whole then closed, whole"
    Then the results are "200 body, 200 body"
    And 2 connections were opened

  Scenario: A reader that does not read stops the server
    When an answer of 8000000 bytes is not read
    Then the server could not send all of it
