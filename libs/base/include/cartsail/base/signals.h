// Defers signals that arrive while the process starts until their handlers are installed.
#pragma once

namespace cartsail {

// Blocks SIGHUP, SIGINT and SIGTERM for this thread and the threads that it starts. To be called
// first in main(): until its handler is installed, each of these signals would end the process.
void BlockSignals();

// Unblocks the signals for this thread; those that arrived meanwhile are delivered now.
void UnblockSignals();

}  // namespace cartsail
