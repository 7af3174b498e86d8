// Signals that come while a process starts: held back until there is someone to take them.
#pragma once

namespace cartsail {

// Blocks SIGHUP, SIGINT and SIGTERM for this thread and those it starts. To be called first in
// main(): until their handlers stand, each of them would end the process.
void BlockSignals();

// Lets them through; those that came meanwhile are delivered now.
void UnblockSignals();

}  // namespace cartsail
