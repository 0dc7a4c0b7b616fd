// The former name of http/frontend.h.
#pragma once

#include "http/frontend.h"  // IWYU pragma: export
