//! Socket options that show a connection without a living other end.
#pragma once

namespace cyclamenmount {

//! Sends at once, and gives up on an end that doesn't acknowledge for about two seconds.
void set_tcp_options(int descriptor);

}  // namespace cyclamenmount
