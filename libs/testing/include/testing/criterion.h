// Criterion, to be included last: its macro `Test` collides with names inside Boost's headers, and
// quoted includes are sorted so that this one comes after the project's own.
#pragma once

#include <criterion/criterion.h>
