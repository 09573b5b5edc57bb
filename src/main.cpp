// SPDX-License-Identifier: MIT
#include "kelpdeal/gateway.h"

int main(int argc, char** argv) { return kelpdeal::run_program(argc, argv); }
